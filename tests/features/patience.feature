Feature: Commits whose answers are overdue are given up, and sent again

  Scenario: A lost answer is waited for a moment only
    Given a table that answers commits in 0.01 s
    When 20 commits are made
    And an answer is lost
    Then it was waited for 0.25 s
    And the next answer is waited for 0.5 s

  Scenario: A slow table is waited for, up to the longest wait
    Given a table that answers commits in 0.4 s
    When 20 commits are made
    Then the next answer is waited for 1.2 s

  Scenario: A wait does not grow without end, and shrinks with an answer
    Given a table that answers commits in 0.01 s
    When 20 commits are made
    And 9 answers are lost
    Then the next answer is waited for 1.2 s
    When 1 commits are made
    Then the next answer is waited for 0.25 s

  Scenario: The lease is kept while half of its renewals get no answer
    Given the holder of a lease whose table loses each second answer
    When it renews for 4 s
    Then it held the lease all the while

  # Guards against SHORT: nothing was started while the table was slow.
  Scenario: The lease is held for half of the time while commits take 0.9 s
    Given the holder of a lease whose table takes 0.9 s for each commit
    When it renews for 8 s
    Then it held the lease for half of the last 5 s at least

  Scenario: A lease counts from the first renewal that may have been done
    Given the holder of a lease
    When a renewal is done and its answer lost 0.6 s ago
    And the next renewal learns it
    Then its lease ends 0.85 s from now

  # Guards against SHORT: jobs that were stored, and told to their callers
  # as refused or unknown, while the table was too slow for their retries.
  Scenario: A submission whose answer was lost is found by reading
    Given a table that loses the answer to a submission, and then refuses all
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
    Given a table that loses the answer to a submission, and then goes away
    When the job is submitted
    Then the caller is told that the outcome is unknown

  # Guards against callers that get no answer: the look took their time.
  Scenario: A caller is told in time though neither commits nor reads answer
    Given a node whose table does not answer
    When the job is submitted by a caller that waits 3 s
    Then the caller is told within 2.95 s that the outcome is unknown

  # Guards against SHORT: submissions to one slow partition held up all others.
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

  # Guards against one transaction that fails in an unexpected way ending all.
  Scenario: An error inside a commit fails its transaction and no later one
    Given a committer on a table that fails unexpectedly 9 times
    When 9 transactions in partition "b" are committed in turn
    Then each is told as unknown, with the error
    When 1 transactions in partition "b" are committed at once
    Then all are done, in 1 commits of partition "b" alone
