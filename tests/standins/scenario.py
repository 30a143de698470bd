"""Helpers that the steps of several features share."""

import collections
import contextlib

import urllib3

from standins import fleet

STARTERS = {}


def start(context, nodes, vms, pool, budget, refuse=False):
    """Start a fleet with one pool."""
    if getattr(context, "linked", None):
        STARTERS["linked"](context, nodes, vms, pool, budget)
        return
    made = context.stack.enter_context(fleet.fleet(nodes, vms, refuse=refuse))
    context.fleet = made
    made.make_pool(pool, list(made.vms), budget)


def counted(context):
    """Return how often each marker stands in the run log."""
    return collections.Counter(each["marker"] for each in context.fleet.runs())


def post(context, node, key, **fields):
    """Post with a key; None if the caller lost its connection."""
    fields.setdefault("Request_Timeout", "4")
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        return context.fleet.call(
            node,
            "POST",
            "/passes/log",
            key.encode(),
            X_Marker=key,
            Idempotency_Key=key,
            timeout=6.0,
            **fields,
        )
    return None
