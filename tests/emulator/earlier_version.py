"""Runs a node as of the version before tokens of single calls.

Its only fencing token is its epoch, one more than that of the last holder,
and it takes each refused token for another holder's.
"""

import runpy

from peridotsill_jobs import _fencing_tokens


def main():
    _fencing_tokens.TOKENS_PER_EPOCH = 1
    _fencing_tokens.RunnerTokens.record_unanswered = lambda self, token: None
    runpy.run_module("peridotsill_adapter", run_name="__main__")


if __name__ == "__main__":
    main()
