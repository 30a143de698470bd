Feature: Commits whose answers are overdue are given up, and sent again

  Scenario: A lost answer is waited for a moment only
    Given a table that answers commits in 0.01 s
    When 20 commits are made
    And an answer is lost
    Then the timeout of that commit was 0.25 s
    And the timeout of the next commit is 0.5 s

  Scenario: A slow table is waited for, up to the longest wait
    Given a table that answers commits in 0.4 s
    When 20 commits are made
    Then the timeout of the next commit is 1.2 s

  Scenario: A wait does not grow without end, and shrinks with an answer
    Given a table that answers commits in 0.01 s
    When 20 commits are made
    And 9 answers are lost
    Then the timeout of the next commit is 1.2 s
    When 1 commits are made
    Then the timeout of the next commit is 0.25 s

  Scenario: The lease is kept while half of its renewals get no answer
    Given the holder of a lease whose table loses every second answer
    When the holder renews the lease for 4 s
    Then the lease was held throughout

  # Guards against a scheduler that starts no jobs while the table is slow.
  Scenario: The lease is held for half of the time while commits take 0.9 s
    Given the holder of a lease whose table takes 0.9 s for each commit
    When the holder renews the lease for 8 s
    Then the lease was held for at least half of the last 5 s

  Scenario: A lease counts from the first renewal that may have been done
    Given the holder of a lease
    When a renewal was committed 0.6 s ago and its answer was lost
    And the next renewal finds it committed
    Then the lease ends 0.85 s from now

  # Guards against stored jobs that are reported to their callers as refused
  # or unknown because the table is too slow for the retries of the commit.
  Scenario: A submission whose answer was lost is found by reading
    Given a table that loses the answer to a submission, and then refuses commits
    When the job is submitted
    Then the caller is told that it was accepted

  Scenario: A submission that another node had stored is found by reading
    Given a table that holds the job, and refuses all commits
    When the job is submitted
    Then the caller is told that it was accepted

  Scenario: A submission that was refused and is not stored is refused at once
    Given a table that refuses all commits
    When the job is submitted
    Then the caller is told within 0.2 s that it was not accepted

  Scenario: A submission whose outcome can't be read stays unknown
    Given a table that loses the answer to a submission, and then refuses all calls
    When the job is submitted
    Then the caller is told that the outcome is unknown

  # Guards against callers that get no reply because the read that looks for
  # the stored job uses up the rest of their timeout.
  Scenario: A caller is told in time though neither commits nor reads answer
    Given a node whose table does not answer
    When the job is submitted by a caller that waits 3 s
    Then the caller is told within 2.95 s that the outcome is unknown

  # Guards against one slow partition that delays submissions to all others.
  Scenario: A partition that does not answer holds up no other's transactions
    Given a committer on a table whose partition "a" does not answer
    When transactions in partitions "a", "b" and "c" are committed at once
    Then those in "b" and "c" are done within 0.5 s

  Scenario: Transactions of one partition are joined while a commit is under way
    Given a committer on a table that answers commits in 0.2 s
    When 10 transactions in partition "b" are committed at once
    Then all are done, in 2 commits of partition "b" alone

  Scenario: What is queued is committed when a node leaves
    Given a committer on a table that answers commits in 0.2 s
    When 10 transactions in partition "b" are committed, and the node leaves
    Then all are done, in 2 commits of partition "b" alone

  # Guards against an unexpected error in one commit that ends the committer's
  # thread, so that no later transaction is committed.
  Scenario: An error inside a commit fails its transaction and no later one
    Given a committer on a table that fails unexpectedly 9 times
    When 9 transactions in partition "b" are committed in turn
    Then each outcome is unknown and names the error
    When 1 transactions in partition "b" are committed at once
    Then all are done, in 1 commits of partition "b" alone
