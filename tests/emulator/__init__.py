"""Stand-in of the users' platform, with its failures and a rule checker.

The pieces are plain objects that tests drive in one process; `wire` serves
them over HTTP as the platform's pages say, for real nodes.
"""
