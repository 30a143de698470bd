"""Helpers that the steps of several features share."""

import collections
import contextlib

import urllib3

from standins import fleet

# Functions that start other fleets than `start` does; a step module adds its
# own under "linked", for nodes that reach their peers through proxies.
FLEET_STARTERS = {}


def start(context, nodes, vms, pool, budget, refuse=False):
    """Start a fleet with one pool; ``budget`` is its ``min_available``."""
    if getattr(context, "linked", None):
        FLEET_STARTERS["linked"](context, nodes, vms, pool, budget)
        return
    new_fleet = context.stack.enter_context(
        fleet.fleet(nodes, vms, refuse=refuse)
    )
    context.fleet = new_fleet
    new_fleet.create_pool(pool, list(new_fleet.vms), budget)


def run_counts(context):
    """Return the number of runs of each marker, by the run log."""
    return collections.Counter(run["marker"] for run in context.fleet.runs())


def post_with_key(context, node, key, **headers):
    """Send a POST with an idempotency key.

    Returns None if the connection fails before the response is complete.
    """
    headers.setdefault("Request_Timeout", "4")
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        return context.fleet.call(
            node,
            "POST",
            "/passes/log",
            key.encode(),
            X_Marker=key,
            Idempotency_Key=key,
            timeout=6.0,
            **headers,
        )
    return None
