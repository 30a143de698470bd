"""Handles the requests of operators to a node."""

import typing

import attrs
import peridotsill
from returns import result

from peridotsill_node import _writer
import peridotsill_operators
import peridotsill_platform
from peridotsill_platform import exceptions as platform_exceptions

if typing.TYPE_CHECKING:
    from peridotsill_node import _node

# Jobs per transaction.
_CANCEL_BATCH_SIZE = 250
_CANCELLABLE_STATES = frozenset(
    {
        peridotsill.JobState.QUEUED,
        peridotsill.JobState.PLACED,
        peridotsill.JobState.RUNNING,
    }
)
# For each state that operators can set: the states from which they can.
_ALLOWED_WAVE_STATES: dict[
    peridotsill.WaveState, frozenset[peridotsill.WaveState]
] = {
    peridotsill.WaveState.RUNNING: frozenset(
        {peridotsill.WaveState.PAUSED, peridotsill.WaveState.HALTED}
    ),
    peridotsill.WaveState.PAUSED: frozenset(
        {peridotsill.WaveState.RUNNING, peridotsill.WaveState.HALTED}
    ),
    peridotsill.WaveState.ABORTED: frozenset(
        {
            peridotsill.WaveState.RUNNING,
            peridotsill.WaveState.PAUSED,
            peridotsill.WaveState.HALTED,
        }
    ),
}


class OperatorBackend:
    """Implements the operators' routes for a node."""

    def __init__(self, *, node: "_node.Node") -> None:
        self._node = node

    def view(self) -> peridotsill.TableView:
        """Return the node's local copy of the table."""
        return self._node.view

    def apply(
        self,
        kind: str,
        name: str,
        document: object,
        expected_version: int | None,
    ) -> peridotsill_operators.WriteResult:
        """Create or replace a resource."""
        return self._node.resources.apply(
            kind, name, document, expected_version
        )

    def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> peridotsill_operators.WriteResult:
        """Delete a resource."""
        return self._node.resources.delete(kind, name, expected_version)

    def apply_config(
        self, change: peridotsill_operators.ConfigChange
    ) -> peridotsill_operators.WriteResult:
        """Apply a change of the configuration."""
        return self._node.configuration.apply(change)

    def config_history(self) -> tuple[peridotsill.Config, ...]:
        """Return all versions of the configuration, oldest first."""
        return self._node.configuration.history()

    def move_vm(
        self, name: str, request: peridotsill_operators.MoveRequest
    ) -> peridotsill_operators.WriteResult:
        """Start moving a VM to another pool."""
        key = peridotsill.resource_key("pools", request.target_pool)
        if key not in self._node.writer.read(key):
            raise peridotsill.HttpProblem(
                422, f"there is no pool {request.target_pool!r}"
            )
        disruption = peridotsill.Disruption(
            id=request.operation,
            kind=peridotsill.DisruptionKind.MOVE,
            target_pool=request.target_pool,
            reason="an operator asked for it",
        )
        return self._node.grants.disrupt(name, disruption)

    def drain_vm(
        self, name: str, request: peridotsill_operators.DrainRequest
    ) -> peridotsill_operators.WriteResult:
        """Drain a VM, or end its drain."""
        if not request.drained:
            return self._node.grants.restore(name, request.operation)
        disruption = peridotsill.Disruption(
            id=request.operation,
            kind=peridotsill.DisruptionKind.DRAIN,
            reason="an operator asked for it",
        )
        return self._node.grants.disrupt(name, disruption)

    def set_wave_state(
        self, name: str, request: peridotsill_operators.WaveStateRequest
    ) -> peridotsill_operators.WriteResult:
        """Pause, resume or abort a wave."""
        allowed_states = _ALLOWED_WAVE_STATES.get(request.state)
        if allowed_states is None:
            raise peridotsill.HttpProblem(
                400, f"operators can't set a wave to {request.state}"
            )

        def update(wave: peridotsill.Wave) -> peridotsill.Wave:
            if wave.state is request.state:
                return wave
            if wave.state not in allowed_states:
                raise peridotsill.HttpProblem(
                    409,
                    f"the wave is {wave.state}; can't set it to"
                    f" {request.state}",
                )
            return attrs.evolve(
                wave, state=request.state, reason="an operator asked for it"
            )

        return self._node.resources.update_wave(name, update)

    def cancel_jobs(
        self, request: peridotsill_operators.CancelJobsRequest
    ) -> peridotsill_operators.WriteResult:
        """Cancel jobs, several in one transaction.

        Unknown jobs and jobs that have ended or are stopping are skipped.

        Raises:
            HttpProblem: If not all of them could be cancelled; those of
                earlier transactions remain cancelled.
        """
        names = tuple(dict.fromkeys(request.jobs))
        version = 0
        for start in range(0, len(names), _CANCEL_BATCH_SIZE):
            version = self._cancel_batch(
                names[start : start + _CANCEL_BATCH_SIZE]
            )
        self._node.journal.record(
            "placement",
            f"jobs/{names[0]}" if names else "jobs",
            f"cancelled {len(names)}",
        )
        return peridotsill_operators.WriteResult(version=version)

    def _cancel_batch(self, names: tuple[str, ...]) -> int:
        keys = tuple(peridotsill.resource_key("jobs", each) for each in names)
        # Read and commit again after a conflict or an unknown outcome.
        for _ in range(5):
            rows = self._node.writer.read(*keys)
            checks: list[peridotsill_platform.Check] = []
            writes: list[peridotsill_platform.Write] = []
            for key, row in rows.items():
                job = peridotsill.from_plain(row.value, peridotsill.Job)
                if job.state in _CANCELLABLE_STATES:
                    checks.append(_writer.check_of(row, key))
                    writes.append(_writer.write_of(key, _cancelled_job(job)))
            if not writes:
                return 0
            match self._node.writer.commit(tuple(checks), tuple(writes)):
                case result.Success(revision):
                    return int(revision)
                case result.Failure(platform_exceptions.TableUnavailable()):
                    break
        raise peridotsill.HttpProblem(
            503, "not all jobs were cancelled; repeat the request"
        )

    def explain(self, subject: str) -> peridotsill.Explanation:
        """Return the recorded decisions about an id or resource."""
        return self._node.decisions.explain(subject)

    def nodes(self) -> tuple[peridotsill_operators.NodeStatus, ...]:
        """Return this node and its live siblings."""
        siblings = tuple(
            peridotsill_operators.NodeStatus(
                node=heartbeat.node,
                domain=heartbeat.domain,
                ready=heartbeat.ready,
                leaving=heartbeat.leaving,
                config_version=heartbeat.config_version,
                revision=heartbeat.revision,
            )
            for heartbeat in self._node.membership.live_heartbeats()
        )
        return (self._node.status(), *siblings)

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        return self._node.counters.render(self._node.gauges())


def _cancelled_job(job: peridotsill.Job) -> peridotsill.Job:
    if job.state is peridotsill.JobState.QUEUED:
        state = peridotsill.JobState.CANCELLED
    else:
        state = peridotsill.JobState.STOPPING
    return attrs.evolve(job, state=state, reason="cancelled")
