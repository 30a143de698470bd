"""Stand-in of the users' platform, with fault injection and a rule checker.

The stand-in consists of plain objects that tests use in one process; `wire`
serves them over HTTP in the platform's protocol, for real nodes.
"""
