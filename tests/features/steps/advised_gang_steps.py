"""Steps on gangs that need tickets of the placement advisor."""

from behave import given
from behave import then
from behave import when

from peridotsill_jobs import _advice
import peridotsill_scheduler as scheduler

_NOW = 1000.0
_QUEUE = scheduler.Queue(
    name="q",
    host="h",
    prefix="/q/",
    pool="p",
    advice=scheduler.AdviceTiming(
        decision_seconds=0.02, vm_seconds=0.002, validity_seconds=3.0
    ),
)


class _AdviceQueue:
    """Answers each request at once."""

    def __init__(self):
        self.calls = []
        self.requester = None
        self.denied = 0

    def enqueue(self, request):
        self.calls.append(request.runners)
        permits = tuple(
            scheduler.AdvisorAnswer(
                occurrence=request.occurrence,
                step=request.step,
                runner=runner,
                ticket="t",
                valid_until=_NOW + 2.7,
            )
            for runner in request.runners
            if (int(runner.split("-")[1]) + 1) % self.denied
        )
        self.requester.record_result(
            _advice.AdviceResult(
                request=request, permits=permits, answered=True
            )
        )


def _view(number, cores):
    resources = scheduler.Resources(cores=cores, memory_mib=65536)
    return scheduler.VmView(
        runner=f"i-{number}",
        lifetime=1,
        vm=f"v-{number}",
        pool="p",
        domain="z",
        rack="r",
        labels=frozenset(),
        capacity=resources,
        free=resources,
        made_at=_NOW,
    )


@given("a {kind} of {tasks:d} tasks of {cores:d} cores, and {runners:d} "
       "runners of {room:d}")  # fmt: skip
@given("{tasks:d} {kind} tasks of {cores:d} cores, and {runners:d} runners of "
       "{room:d}")  # fmt: skip
def _advised_step(context, kind, tasks, cores, runners, room):
    step = scheduler.Step(
        index=0,
        task_count=tasks,
        demand=scheduler.Resources(cores=cores),
        gang=kind == "gang",
    )
    spec = scheduler.JobSpec(id="j", queue="q", payload="", steps=(step,))
    context.job = scheduler.Job(spec=spec, queue=_QUEUE, arrived_at=_NOW)
    scheduler.open_occurrences(context.job, 0.0)
    context.sizes = (runners, room)
    context.advice_queue = _AdviceQueue()


@when("the advisor permits each runner but every {denied:d}th, and {rounds:d} "
      "rounds are made")  # fmt: skip
def _make_rounds(context, denied, rounds):
    runners, room = context.sizes
    context.advice_queue.denied = denied
    requester = _advice.AdviceRequester(advice_queue=context.advice_queue)
    context.advice_queue.requester = requester
    context.starts = []
    for _ in range(rounds):
        vms = [_view(number, room) for number in range(runners)]
        requester.request_for_ready_steps([context.job], vms, _NOW)
        context.starts = scheduler.plan_starts(
            policy="payoff_density",
            jobs=[context.job],
            vms=vms,
            now=_NOW,
            estimator=scheduler.Estimator(),
        )


@then("the gang is placed")
def _placed(context):
    assert len(context.starts) == len(context.job.tasks), len(context.starts)


@then("no call has named more than {most:d} runners")
def _most_named(context, most):
    sizes = [len(call) for call in context.advice_queue.calls]
    assert max(sizes) <= most, sizes


@then("{count:d} call has been made, for {runners:d} runners")
def _calls_made(context, count, runners):
    sizes = [len(call) for call in context.advice_queue.calls]
    assert sizes == [runners] * count, sizes
