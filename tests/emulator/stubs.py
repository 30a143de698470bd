"""What scenarios of one process put in place of a node's surroundings."""

import peridotsill_jobs


def node_settings():
    """Return settings of a node that opens nothing."""
    return peridotsill_jobs.JobNodeSettings(
        node="n",
        domain="z",
        callers="127.0.0.1:1",
        readiness="127.0.0.1:2",
        metrics="127.0.0.1:2",
        platform="none",
        table="",
        vm_service="",
    )
