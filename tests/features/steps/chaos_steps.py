"""Injects sequences of faults, two at a time, during posts, jobs and waves.

hypothesis draws the sequences. With ``derandomize`` it derives them from the
source of the test function, so any edit of that function draws others.
"""

import contextlib
import itertools
import os
import threading
import time

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import peridotsill.exceptions
from standins import checker
from standins import fleet
from standins import scenario

import peridotsill_operators

_NODES = ("n0", "n1", "n2")
_VMS = ("vm0", "vm1", "vm2", "vm3", "vm4", "vm5")
# CHAOS_EXAMPLES sets a larger number; the first examples stay the same.
_EXAMPLES = int(os.environ.get("CHAOS_EXAMPLES", "3"))

_actions = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(["kill node", "freeze node"]),
        strategies.sampled_from(_NODES),
    ),
    strategies.tuples(
        strategies.sampled_from(
            ["kill runner", "silence runner", "crash after run", "reboot"]
        ),
        strategies.sampled_from(_VMS),
    ),
    strategies.tuples(
        strategies.just("platform"),
        strategies.sampled_from(
            ["down", "lost_answers", "late_commits", "table_slow"]
        ),
    ),
    strategies.tuples(
        strategies.sampled_from(["drain", "move"]),
        strategies.sampled_from(_VMS),
    ),
)
_plans = strategies.lists(
    strategies.tuples(_actions, _actions), min_size=2, max_size=3
)


class Chaos:
    """Posts, jobs, waves and faults on a fleet."""

    def __init__(self, context) -> None:
        self.context = context
        self.fleet = context.fleet
        self.numbers = itertools.count()
        self.stopped = threading.Event()
        self.replies: dict[str, list] = {}
        self.lock = threading.Lock()
        self.threads = [
            threading.Thread(
                target=self.post_until_stopped, args=(index,), daemon=True
            )
            for index in range(4)
        ]

    def client(self):
        """Return an operator's client of the first node that answers."""
        for node in self.fleet.nodes:
            client = peridotsill_operators.OperatorClient(
                address=self.fleet.address(node, "operators"),
                token=fleet.TOKEN,
                timeout_seconds=1.5,
            )
            with contextlib.suppress(peridotsill.exceptions.PeridotsillError):
                client.nodes()
                return client
        return None

    def post_until_stopped(self, index: int) -> None:
        """Post new idempotency keys, each at up to three nodes."""
        while not self.stopped.is_set():
            key = f"chaos-{index}-{next(self.numbers)}"
            for attempt in range(3):
                node = _NODES[(index + attempt) % len(_NODES)]
                reply = scenario.post_with_key(
                    self.context, node, key, Request_Timeout="2"
                )
                with self.lock:
                    self.replies.setdefault(key, []).append(reply)
                if reply is not None and reply.status == 200:
                    break
            time.sleep(0.05)

    def operate(self) -> None:
        """Apply a wave and three non-idempotent jobs; ignore refusals."""
        number = next(self.numbers)
        client = self.client()
        if client is None:
            return
        with contextlib.suppress(peridotsill.exceptions.PeridotsillError):
            client.apply("waves", f"w{number}", {"pool": "trails"})
        for job in range(3):
            document = {
                "pool": "trails",
                "run_seconds": 1.0,
                "idempotent": False,
            }
            with contextlib.suppress(peridotsill.exceptions.PeridotsillError):
                client.apply("jobs", f"once{number}-{job}", document)

    def happen(self, action) -> None:
        """Inject one fault."""
        kind, target = action
        processes = self.fleet.processes
        if kind == "kill node":
            processes[target].kill()
        elif kind == "freeze node":
            processes[target].freeze()
        elif kind == "kill runner":
            processes[f"runner-{target}"].kill()
        elif kind == "platform":
            self.fleet.set_faults(**{target: 1.0 if target != "down" else 1})
        elif kind in ("drain", "move"):
            self.request_disruption(kind, target)
        else:
            faults = {
                "silence runner": {"silence": True},
                "crash after run": {"crash_after_run": 1},
                "reboot": {"hang": 2},
            }[kind]
            with contextlib.suppress(peridotsill.exceptions.PeridotsillError):
                self.fleet.control_runner(target, "faults", **faults)

    def request_disruption(self, kind: str, vm: str) -> None:
        """Order a drain or a move of a VM; ignore a refusal."""
        client = self.client()
        if client is None:
            return
        operation = f"{kind}-{next(self.numbers)}"
        with contextlib.suppress(peridotsill.exceptions.PeridotsillError):
            if kind == "drain":
                order = peridotsill_operators.DrainRequest(operation=operation)
                client.drain_vm(vm, order)
            else:
                order = peridotsill_operators.MoveRequest(
                    target_pool="spare", operation=operation
                )
                client.move_vm(vm, order)

    def heal(self) -> None:
        """End all faults and restart all processes that ended."""
        self.fleet.set_faults(
            down=0, lost_answers=0, late_commits=0, table_slow=0
        )
        for name, process in self.fleet.processes.items():
            process.thaw()
            if process.child.poll() is None:
                continue
            if name.startswith("runner-"):
                process.start()
            else:
                self.fleet.start_node(name, wait=False)
        for name in _NODES:
            self.fleet.wait_ready(name, 40)

    def end_drains(self) -> None:
        """Undo all drains that operators ordered."""
        rows = self.fleet.control_platform(rows=True)["rows"]
        for key, row in rows.items():
            disruption = (
                row.get("disruption") if key.startswith("vms/") else None
            )
            if disruption and disruption["kind"] == "drain":
                order = peridotsill_operators.DrainRequest(
                    operation=disruption["id"], drained=False
                )
                with contextlib.suppress(
                    peridotsill.exceptions.PeridotsillError
                ):
                    self.client().drain_vm(row["name"], order)


@when("random sequences of faults are injected during posts, jobs and waves")
def step_inject_faults(context):
    chaos = Chaos(context)
    context.chaos = chaos
    for thread in chaos.threads:
        thread.start()

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=_EXAMPLES,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(_plans)
    def run(plan):
        for first, second in plan:
            chaos.operate()
            chaos.happen(first)
            chaos.happen(second)
            time.sleep(2.5)
            checker.check(context.fleet)
        chaos.heal()
        chaos.end_drains()

    run()
    chaos.stopped.set()
    for thread in chaos.threads:
        thread.join()
    context.keys = list(chaos.replies)
    context.first_replies = {
        key: next((r for r in found if r and r.status == 200), found[0])
        for key, found in chaos.replies.items()
    }
    context.final_replies = {}
    time.sleep(2.0)


@then("every node serves requests again at the end")
def step_nodes_serve(context):
    for node in _NODES:
        fleet.wait_until(
            lambda: context.fleet.call(node, "GET", "/passes/x").status == 200,
            15,
            f"{node} serves",
        )
    acknowledged = [
        r for r in context.first_replies.values() if r and r.status == 200
    ]
    assert len(acknowledged) > 50, len(acknowledged)
