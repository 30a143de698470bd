"""Paces filling tasks by the tails that serving ones report."""

from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
from peridotsill_jobs import _workers
import peridotsill_scheduler

_Phase = peridotsill_scheduler.TaskPhase
# Speeds are changed at most this often: a tail covers half a second.
_PACE_SECONDS = 0.45


def pace(worker: _workers.Worker) -> None:
    """Let filling tasks work as fast as the serving ones bear."""
    seen = [
        each
        for each in worker.placed.values()
        if each.seen and each.task.phase is _Phase.RUNNING
    ]
    fillers = [each for each in seen if each.task.step.fills]
    tails = [
        peridotsill_scheduler.Tail(
            tail_ms=each.gauge, target_ms=each.task.step.tail_target_ms
        )
        for each in seen
        if each.task.step.tail_target_ms
    ]
    worker.link.watch_closely(bool(fillers and tails))
    now = _clock.awake_seconds()
    if not fillers or now - worker.paced_at < _PACE_SECONDS:
        return
    worker.paced_at = now
    before = min(each.speed_percent for each in fillers)
    percent = peridotsill_scheduler.plan_pace(tails, before)
    for each in fillers:
        if each.speed_percent != percent:
            _order_pace(worker, each, percent, tails)


def _order_pace(
    worker: _workers.Worker,
    placed: _workers.Placed,
    percent: int,
    tails: list[peridotsill_scheduler.Tail],
) -> None:
    _logs.log(
        "task:pace",
        job=placed.job.spec.id,
        task=placed.task.key,
        runner=worker.entry.id,
        percent=percent,
        tails_ms=[each.tail_ms for each in tails],
        targets_ms=[each.target_ms for each in tails],
    )
    worker.link.order_pace(placed.name, placed.task.run, percent)
