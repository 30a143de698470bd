"""Paces filler tasks by the response times of serving ones.

Filler tasks use the cores that serving tasks leave idle.
"""

from peridotsill_jobs import _clock
from peridotsill_jobs import _logs
from peridotsill_jobs import _workers
import peridotsill_scheduler

_Phase = peridotsill_scheduler.TaskPhase
# Speeds are changed at most this often, as a tail latency is measured
# over half a second.
_MIN_PACE_INTERVAL_SECONDS = 0.45


def pace_fillers(worker: _workers.Worker) -> bool:
    """Set the filler tasks' speed by the serving tasks' tail latencies.

    Returns:
        Whether there are fillers that have to follow tail latencies.
    """
    running = [
        each
        for each in worker.placed.values()
        if each.listed_by_runner and each.task.phase is _Phase.RUNNING
    ]
    fillers = [each for each in running if each.task.step.fills]
    tails = [
        peridotsill_scheduler.TailLatency(
            tail_ms=each.load_metric, target_ms=each.task.step.tail_target_ms
        )
        for each in running
        if each.task.step.tail_target_ms
    ]
    follows_tails = bool(fillers and tails)
    now = _clock.monotonic_seconds()
    if not fillers or now - worker.paced_at < _MIN_PACE_INTERVAL_SECONDS:
        return follows_tails
    worker.paced_at = now
    current_percent = min(each.speed_percent for each in fillers)
    percent = peridotsill_scheduler.plan_filler_speed(tails, current_percent)
    for each in fillers:
        if each.speed_percent != percent:
            _order_pace(worker, each, percent, tails)
    return follows_tails


def _order_pace(
    worker: _workers.Worker,
    placed: _workers.PlacedTask,
    percent: int,
    tails: list[peridotsill_scheduler.TailLatency],
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
