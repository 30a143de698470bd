"""Mutation tests: checks that scenarios fail when a mechanism is removed.

Each mutant disables one mechanism in a copy of the packages in a temporary
folder and runs the scenario that tests it. Prints for each mutant whether
the scenario failed, as it must. Not a part of CI.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import attrs

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SRC = "packages/{0}/src/{0}/{1}"


@attrs.frozen(kw_only=True)
class Mutant:
    """An edit of the source, and the scenario that must fail with it.

    ``promise`` says what the intact code does; ``old`` is replaced by ``new``.
    """

    promise: str
    package: str
    module: str
    old: str
    new: str
    feature: str
    scenario: str


MUTANTS = (
    Mutant(
        promise="whole answers: the request id of a response is checked",
        package="peridotsill_upstreams",
        module="_exchange.py",
        old="    if echoed is not None or pool.echoes_request_ids:",
        new="    if False:",
        feature="whole",
        scenario="A late answer of another request",
    ),
    Mutant(
        promise="not run: a request lost after sending counts as possibly run",
        package="peridotsill_node",
        module="_relay.py",
        old="        progress.may_have_run = True\n        stale",
        new="        progress.may_have_run = False\n        stale",
        feature="whole",
        scenario="A broken answer is never passed on",
    ),
    Mutant(
        promise="at most once: a non-idempotent request is sent once",
        package="peridotsill_node",
        module="_relay.py",
        old="        if not progress.request.idempotent or out_of_time:",
        new="        if out_of_time:",
        feature="once",
        scenario='A refusal that says "not run" is true',
    ),
    Mutant(
        promise="at most once: an existing claim on the key is respected",
        package="peridotsill_node",
        module="_claims.py",
        old="            if _is_claimable(existing):",
        new="            if True:",
        feature="once",
        scenario="The same key at all nodes together",
    ),
    Mutant(
        promise="at most once: a claim whose write got no answer is read back",
        package="peridotsill_node",
        module="_claims.py",
        old="            if existing.token == claim.row.token:",
        new="            if False:",
        feature="once",
        scenario="Lost answers of the table cost",
    ),
    Mutant(
        promise="planned stop: the node waits until its callers are served",
        package="peridotsill_node",
        module="_node.py",
        old="        self._wait_for_callers()\n",
        new="        __import__('os')._exit(0)\n",
        feature="stop",
        scenario="A caller that reads its answer slowly",
    ),
    Mutant(
        promise="configuration: a paused node refreshes its view first",
        package="peridotsill_node",
        module="_view_feed.py",
        old="        if time.monotonic() - self._ticked_at > _PAUSE_SECONDS:",
        new="        if False:",
        feature="config",
        scenario="A node frozen across a change",
    ),
    Mutant(
        promise="configuration: an unanswered change is looked up by its id",
        package="peridotsill_node",
        module="_configuration.py",
        old="            if history_key in rows:",
        new="            if False:",
        feature="config",
        scenario="Lost answers apply a change once",
    ),
    Mutant(
        promise="leaving: a leave announced in a response takes effect",
        package="peridotsill_upstreams",
        module="_health.py",
        old="            state.leaving = state.leaving or leaving",
        new="            pass",
        feature="leaving",
        scenario="No new work 3 s after the leave shows in its answers only",
    ),
    Mutant(
        promise="silence: a reused connection has a shorter timeout",
        package="peridotsill_upstreams",
        module="_exchange.py",
        old="    answer_timeout_seconds = options.reused_timeout_seconds",
        new="    answer_timeout_seconds = 2 * options.fresh_timeout_seconds",
        feature="leaving",
        scenario="Existing connections go silent",
    ),
    Mutant(
        promise="budget: a grant is conditional on the pool row's version",
        package="peridotsill_node",
        module="_grants.py",
        old="            _writer.check_of(pool_row, pool_key),\n",
        new="",
        feature="fleet",
        scenario="Racing operators drain all VMs",
    ),
    Mutant(
        promise="waves: a reboot waits until no node may send to the VM",
        package="peridotsill_node",
        module="_disruptions.py",
        old=(
            "    reason = disruptions.missing_drain_ack("
            "vm.name, disruption.id)\n"
        ),
        new="    reason = ''\n",
        feature="fleet",
        scenario="A node that is cut off may still send",
    ),
    Mutant(
        promise="not run: a refused connection says nothing of the past",
        package="peridotsill_node",
        module="_relay.py",
        old="        if vm == progress.broken_reused_at",
        new=(
            "        progress.may_have_run = False\n"
            "        if vm == progress.broken_reused_at"
        ),
        feature="once",
        scenario="A refused connection says nothing",
    ),
    Mutant(
        promise="waves: a VM that answers no probe keeps its last boot",
        package="peridotsill_node",
        module="_disruptions.py",
        old="disruption, disruptions.last_boot(vm.name))",
        new="disruption, probe.boot)",
        feature="disruptions",
        scenario="says nothing of a VM's boot",
    ),
    Mutant(
        promise="jobs: a lapsed task that may run once is not started again",
        package="peridotsill_node",
        module="_jobs.py",
        old="    if not job.idempotent:\n        return attrs.evolve(\n"
        "            job,\n            state=peridotsill.JobState.UNKNOWN",
        new="    if False:\n        return attrs.evolve(\n"
        "            job,\n            state=peridotsill.JobState.UNKNOWN",
        feature="jobs",
        scenario="Leases of tasks that may run once lapse",
    ),
    Mutant(
        promise="input: slow senders occupy no worker thread",
        package="peridotsill",
        module="_listener.py",
        old="            self.gate.admit(conn)",
        new="            self.queue(conn)",
        feature="input",
        scenario="Slow senders",
    ),
    Mutant(
        promise="input: the connection is closed after an unread body",
        package="peridotsill",
        module="_http_request.py",
        old=(
            "        unread = isinstance(body, _ChunkedBody) and not"
            " body.is_at_end"
        ),
        new="        unread = False",
        feature="input",
        scenario="Drawn ambiguous",
    ),
    Mutant(
        promise="input: folded header lines are refused",
        package="peridotsill",
        module="_http_request.py",
        old='        if line[:1] in (b" ", b"\\t"):',
        new="        if False:",
        feature="input",
        scenario="Drawn ambiguous",
    ),
    Mutant(
        promise="jobs: a new owner reads the learned usage from the rows",
        package="peridotsill_node",
        module="_jobs.py",
        old="        self._usage.record_from_rows(jobs)",
        new="        return",
        feature="jobs",
        scenario="Learned sizes outlive",
    ),
    Mutant(
        promise="starts: progress is written by a conditional commit",
        package="peridotsill_jobs",
        module="_job_store.py",
        old="            checks=tuple(checks), writes=tuple(writes)",
        new="            checks=(), writes=tuple(writes)",
        feature="controller",
        scenario="Of two schedulers that start a task",
    ),
    Mutant(
        promise="starts: leases of an earlier scheduler are counted",
        package="peridotsill_jobs",
        module="_grants.py",
        old=(
            "            granted = self._lease_seconds * 1000.0 if r"
            "eport.running else 0.0"
        ),
        new="            granted = 0.0",
        feature="controller",
        scenario="A runner's leases that another scheduler",
    ),
    Mutant(
        promise="starts: a runner that has just answered keeps its leases",
        package="peridotsill_jobs",
        module="_grants.py",
        old="        if not self.reached or self.may_extend:",
        new="        if not self.reached:",
        feature="controller",
        scenario="A runner that has just answered",
    ),
    Mutant(
        promise="leases: a node that released the scheduler lease grants none",
        package="peridotsill_jobs",
        module="_grants.py",
        old="not self._may_extend_at(now) or not self._may_grant:",
        new="not self._may_extend_at(now):",
        feature="waits",
        scenario="A node that gave the lease back",
    ),
    Mutant(
        promise="leases: a killed holder is assumed to have granted some",
        package="peridotsill_jobs",
        module="_earlier_grants.py",
        old="        latest = self.lease_ends_at + POLL_WITHOUT_LEASE_SECONDS",
        new="        latest = self.lease_ends_at",
        feature="waits",
        scenario="After a lease that ran out",
    ),
    Mutant(
        promise="leases: the holder before a killed one may live",
        package="peridotsill_jobs",
        module="_earlier_grants.py",
        old="max(stopped_at, self.earlier_grants_end_at)",
        new="stopped_at",
        feature="waits",
        scenario="After a killed holder that had just taken over",
    ),
    Mutant(
        promise="leases: only another process proves a holder to have ended",
        package="peridotsill_jobs",
        module="_earlier_grants.py",
        old=" or answer.process == self.process:",
        new=":",
        feature="waits",
        scenario="A holder may live, though",
    ),
    Mutant(
        promise="leases: a holder that was replaced is not waited for",
        package="peridotsill_jobs",
        module="_lease.py",
        old=(
            "        stopped_at = self._when_stopped("
            "last_holder, state, waits)"
        ),
        new="        stopped_at = None",
        feature="waits",
        scenario="After a killed holder that",
    ),
    Mutant(
        promise="leases: a pause past the last poll ends the grants",
        package="peridotsill_jobs",
        module="_grants.py",
        old="            and since_expiry <= _earlier_grants",
        new="            and 0 * since_expiry <= _earlier_grants",
        feature="lease",
        scenario="A holder that is paused as it grants",
    ),
    Mutant(
        promise="leases: holders before one that left may live",
        package="peridotsill_jobs",
        module="_lease.py",
        old="        last_holder = self._make_last_holder(row)\n",
        new=(
            "        last_holder = attrs.evolve(self._make_last_holder(row),"
            " earlier_grants_end_at=0.0)\n"
        ),
        feature="lease",
        scenario="A run is waited for though the next leaves so",
    ),
    Mutant(
        promise="leases: a holder that is replaced later is noticed",
        package="peridotsill_jobs",
        module="_lease.py",
        old="            self._earlier_grants_end_at = grants_end_at\n",
        new="            pass\n",
        feature="waits",
        scenario="A killed holder's node starts again",
    ),
    Mutant(
        promise="leases: a node that declines its epoch is not waited for",
        package="peridotsill_jobs",
        module="_earlier_grants.py",
        old="        if answer.declined and",
        new="        if not answer and",
        feature="waits",
        scenario="After a node that never learned",
    ),
    Mutant(
        promise="leases: a node keeps its word that it holds none",
        package="peridotsill_jobs",
        module="_lease.py",
        old="            if epoch <= self._declined_epoch:\n",
        new="            if False:\n",
        feature="waits",
        scenario="A node that has told another that it has no lease",
    ),
    Mutant(
        promise="leases: a process of another name replaces no holder",
        package="peridotsill_jobs",
        module="_earlier_grants.py",
        old="        if answer.node != self.node or",
        new="        if",
        feature="waits",
        scenario="A holder may live, though",
    ),
    Mutant(
        promise="leases: the wait counts from the last renewal seen",
        package="peridotsill_jobs",
        module="_lease.py",
        old="                first_read_at=last_row.first_read_at,",
        new="                first_read_at=unchanged_since,",
        feature="waits",
        scenario="After an outage, for what is left",
    ),
    Mutant(
        promise="leases: a runner has time to answer a new scheduler",
        package="peridotsill_jobs",
        module="_inherited_leases.py",
        old="        return max(0.0, min(known_at, now) + _FIRST",
        new="        return 0 * max(0.0, min(known_at, now) + _FIRST",
        feature="waits",
        scenario="A runner has time to answer",
    ),
    Mutant(
        promise="calls: an unsolicited answer is not matched to a call",
        package="peridotsill",
        module="_call_loop.py",
        old="        if self._complete_count > 1 or self._unsent:",
        new="        if False:",
        feature="calls",
        scenario="An answer that can't be read fails",
    ),
    Mutant(
        promise="takeover: a finished job is not started again",
        package="peridotsill_jobs",
        module="_job_store.py",
        old=(
            "        if row.key in self._final_row_keys:\n"
            "            return None, False\n"
        ),
        new="",
        feature="controller",
        scenario="What was over before a takeover",
    ),
    Mutant(
        promise="capacity: a run restarted elsewhere keeps its reservation",
        package="peridotsill_jobs",
        module="_workers.py",
        old=(
            "                    worker.abandoned[(*key, placed.task"
            ".run)] = placed\n"
        ),
        new="",
        feature="controller",
        scenario="What was started again elsewhere",
    ),
    Mutant(
        promise="unknown runs: a run that no scheduler recorded is stopped",
        package="peridotsill_jobs",
        module="_runs.py",
        old=(
            "runner=worker.entry.id,\n        )\n        worker.link"
            ".order_stop"
        ),
        new="runner=worker.entry.id,\n        )\n        id",
        feature="controller",
        scenario="A run that nobody recorded",
    ),
    Mutant(
        promise="waves: a VM that a wave has just taken is not lent",
        package="peridotsill_jobs",
        module="_fleet.py",
        old="for vm in vms if vm not in self._operations)",
        new="for vm in vms)",
        feature="maintenance",
        scenario="A VM whose maintenance begins",
    ),
    Mutant(
        promise="waves: a busy answer after an unanswered try is ambiguous",
        package="peridotsill_jobs",
        module="_commands.py",
        old="                unanswered = True",
        new="                unanswered = False",
        feature="maintenance",
        scenario="A command that may be at work",
    ),
    Mutant(
        promise="waves: a repeat of an earlier scheduler's command counts",
        package="peridotsill_jobs",
        module="_fleet.py",
        old="            operation.may_be_repeat = True",
        new="            operation.may_be_repeat = False",
        feature="maintenance",
        scenario="An earlier scheduler's command",
    ),
    Mutant(
        promise="waves: a VM counts as out for its whole maintenance",
        package="peridotsill_jobs",
        module="_waves.py",
        old="if requested_at < self.away_since[vm] + away_seconds:",
        new="if False:",
        feature="maintenance",
        scenario="A VM is out for as long",
    ),
    Mutant(
        promise="store: the first read after a failure is not a long poll",
        package="peridotsill_jobs",
        module="_following.py",
        old="            wait_seconds = 0.0",
        new="            wait_seconds = subscription.wait_seconds",
        feature="platform_jobs",
        scenario="Jobs are accepted soon after",
    ),
    Mutant(
        promise="store: commits time out adaptively",
        package="peridotsill_platform",
        module="_adaptive_timeout.py",
        old=(
            "            return min(self._max_seconds, base_seconds * 2.0**"
            "self._doublings)"
        ),
        new="            return self._max_seconds",
        feature="patience",
        scenario="A lost answer is waited for",
    ),
    Mutant(
        promise="lease: it is counted from the first unanswered renewal",
        package="peridotsill_jobs",
        module="_lease.py",
        old="            first_requested_at = self._first_unanswered_at",
        new="            first_requested_at = None",
        feature="patience",
        scenario="A lease counts from",
    ),
    Mutant(
        promise="submissions: an existing row counts as accepted before",
        package="peridotsill_jobs",
        module="_submissions.py",
        old=(
            "                    return JobReply(outcome=Outcome.DONE, "
            'reason="repeated")'
        ),
        new="                    return JobReply(outcome=Outcome.NOT_DONE)",
        feature="platform_jobs",
        scenario="A job is one job",
    ),
    Mutant(
        promise="cancels: a new scheduler applies those recorded before",
        package="peridotsill_jobs",
        module="_controller.py",
        old="        for job in self._job_store.cancelled:",
        new="        for job in ():",
        feature="takeover",
        scenario="cancelled before",
    ),
    Mutant(
        promise="lease: less capable nodes leave it to more capable ones",
        package="peridotsill_jobs",
        module="_lease.py",
        old=(
            "        less_capable = self._capability < max_capability"
            " * _LESS_CAPABLE_RATIO"
        ),
        new="        less_capable = False",
        feature="lease",
        scenario="A less capable node leaves a lapsed lease",
    ),
    Mutant(
        promise="lease: its holder keeps it after an outage of the table",
        package="peridotsill_jobs",
        module="_lease.py",
        old="        outage = self._failed_reads >= _OUTAGE_FAILED_READS",
        new="        outage = False",
        feature="lease",
        scenario="After an outage of the table its holder goes on",
    ),
    Mutant(
        promise="lease: less capable nodes leave it to others after an outage",
        package="peridotsill_jobs",
        module="_lease.py",
        old="            grace_seconds += _LESS_CAPABLE_OUTAGE_SECONDS",
        new="            pass",
        feature="lease",
        scenario="After an outage of the table a less capable node",
    ),
    Mutant(
        promise="lease: released even if a renewal's outcome is unknown",
        package="peridotsill_jobs",
        module="_lease.py",
        old="            return row.version\n        # An earlier",
        new="            return None\n        # An earlier",
        feature="lease",
        scenario="A lease is given back also after a renewal",
    ),
    Mutant(
        promise="lease: a holder that renews is not given up when asked",
        package="peridotsill_jobs",
        module="_lease.py",
        old="        if failed < _GIVE_UP_FAILED_RENEWALS:",
        new="        if False:",
        feature="lease",
        scenario="A holder is not given up for one renewal",
    ),
    Mutant(
        promise="lease: a holder that gave its lease up grants no more leases",
        package="peridotsill_jobs",
        module="_lease.py",
        old='        self.mark_lost(f"given up after',
        new='        str(f"given up after',
        feature="lease",
        scenario="A holder that gives its lease up orders nothing more",
    ),
    Mutant(
        promise="lease: a silent holder's lease has to expire",
        package="peridotsill_jobs",
        module="_lease.py",
        old="            self._silent_version = row.version\n",
        new="            return _holder_check.HolderState(holds=False)\n",
        feature="lease",
        scenario="A holder that is asked does not answer",
    ),
    Mutant(
        promise="lease: a holder that refuses connections may live on",
        package="peridotsill_jobs",
        module="_lease.py",
        old="            lease_ends_at=row.first_read_at + LEASE_SECONDS,",
        new="            lease_ends_at=row.first_read_at,",
        feature="lease",
        scenario="A holder that refuses connections may live on",
    ),
    Mutant(
        promise="lease: a renewal does not bring back one that was given up",
        package="peridotsill_jobs",
        module="_lease.py",
        old="            if self._lost and epoch == self._epoch:",
        new="            if False:",
        feature="lease",
        scenario="A renewal in progress does not bring back",
    ),
    Mutant(
        promise="lease: a process of one's name elsewhere is another one",
        package="peridotsill_jobs",
        module="_lease.py",
        old="(holder, address) == (self._node, self._address)",
        new="holder == self._node",
        feature="lease",
        scenario="A conflict with a process of the same name",
    ),
    Mutant(
        promise="lease: the hand-over time counts from when the row was seen",
        package="peridotsill_jobs",
        module="_lease.py",
        old="            min(unchanged_seconds, LEASE_SECONDS)",
        new="            LEASE_SECONDS",
        feature="lease",
        scenario="The hand-over time counts in full",
    ),
    Mutant(
        promise="leases: waits are left for runners whose runs are not known",
        package="peridotsill_jobs",
        module="_workers.py",
        old="        if other_seconds > longest_seconds:",
        new="        if False:",
        feature="lease",
        scenario="A run is waited for though the next holder",
    ),
    Mutant(
        promise="waves: a VM is used again when its operation ends",
        package="peridotsill_jobs",
        module="_fleet.py",
        old='not None:\n            worker.fleet_closed_reason = ""',
        new="not None:\n            pass",
        feature="maintenance",
        scenario="A VM whose maintenance had been done before",
    ),
    Mutant(
        promise="lending: tasks of late jobs don't keep VMs from being lent",
        package="peridotsill_scheduler",
        module="_demand.py",
        old="late_running=0.0 if within_objective else running,",
        new="late_running=0.0,",
        feature="scheduler",
        scenario="VMs that are full with late jobs",
    ),
    Mutant(
        promise="lending: VMs with long tasks are not cleared to be lent",
        package="peridotsill_jobs",
        module="_fleet.py",
        old="            if seconds_to_idle < _MAX_SECONDS_TO_IDLE:",
        new="            if True:",
        feature="maintenance",
        scenario="A VM is cleared to be lent only if its tasks end soon",
    ),
    Mutant(
        promise="waves: a VM counts as out until the VM list shows it back",
        package="peridotsill_jobs",
        module="_waves.py",
        old="        return self.begun - self.back",
        new="        return self.begun - self.done",
        feature="maintenance",
        scenario="is out until it is back",
    ),
    Mutant(
        promise="waves: a stale VM list does not count a VM as back",
        package="peridotsill_jobs",
        module="_waves.py",
        old="if requested_at < self.away_since[vm] + away_seconds:",
        new="if False:",
        feature="maintenance",
        scenario="is out though the list lags",
    ),
    Mutant(
        promise="waves: the limit is checked again when a VM is recorded",
        package="peridotsill_jobs",
        module="_fleet.py",
        old="        if len(out) >= wave.order.max_parallel:",
        new="        if False:",
        feature="maintenance",
        scenario="another scheduler recorded meanwhile",
    ),
    Mutant(
        promise="crashes: a crash is held against the tasks that it hits",
        package="peridotsill_jobs",
        module="_suspects.py",
        old="            task.crashes = (*task.crashes, crash)",
        new="            pass",
        feature="suspects",
        scenario="Once the cause is known",
    ),
    Mutant(
        promise="crashes: a task in company is not given up at two",
        package="peridotsill_scheduler",
        module="_crashes.py",
        old="    if not alone:\n        return False",
        new="",
        feature="suspects",
        scenario="Who is given up",
    ),
    Mutant(
        promise="crashes: those beside a task that was given up are cleared",
        package="peridotsill_jobs",
        module="_suspects.py",
        old="        if not explained:",
        new="        if True:",
        feature="suspects",
        scenario="Once the cause is known",
    ),
    Mutant(
        promise="crashes: a VM is kept free for a suspect",
        package="peridotsill_scheduler",
        module="_placement.py",
        old="        if not starts and self._vms_to_clear:",
        new="        if False:",
        feature="suspects",
        scenario="A likely cause waits",
    ),
    Mutant(
        promise="crashes: they are written to the job's row",
        package="peridotsill_jobs",
        module="_records.py",
        old="    if crashes:\n",
        new="    if False:\n",
        feature="suspects",
        scenario="A new scheduler reads what crashed",
    ),
    Mutant(
        promise="refusals: they don't end what a runner runs",
        package="peridotsill_jobs",
        module="_gone_runners.py",
        old="        self._request_vm_list()\n",
        new=(
            '        self._requeue_tasks(worker, "", 0.0)\n'
            "        self._workers.replace_link(worker)\n"
        ),
        feature="refusals",
        scenario="What proves that a runner that refuses connections",
    ),
    Mutant(
        promise="refusals: a list from before the runner proves nothing",
        package="peridotsill_jobs",
        module="_fleet.py",
        old="record is None or not self.has_listed_since(worker)",
        new="record is None",
        feature="refusals",
        scenario="What proves that a runner that refuses connections",
    ),
    Mutant(
        promise="refusals: no lease is granted until the next report",
        package="peridotsill_jobs",
        module="_grants.py",
        old="return not self.refused and (",
        new="return (",
        feature="refusals",
        scenario="A runner that refuses connections is granted no lease",
    ),
    Mutant(
        promise="refusals: a refused start shows nothing of an earlier one",
        package="peridotsill_jobs",
        module="_orders.py",
        old=(
            "        except exceptions.ConnectionRefused as error:\n"
            "            self._report_unanswered_start("
        ),
        new=(
            "        except exceptions.ConnectionRefused as error:\n"
            "            attempts.no_attempt_in_flight = True\n"
            "            self._report_unanswered_start("
        ),
        feature="refusals",
        scenario="What a start whose connection is refused shows",
    ),
    Mutant(
        promise="crashes: a VM taken away by a command is no crash",
        package="peridotsill_jobs",
        module="_gone_runners.py",
        old="self._fleet.may_have_ended(worker)",
        new="False",
        feature="controller",
        scenario="went for another reason",
    ),
    Mutant(
        promise="crashes: a command ends only the runner that the VM had",
        package="peridotsill_jobs",
        module="_fleet.py",
        old='            return operation.runner in ("", runner)',
        new="            return True",
        feature="controller",
        scenario="went for another reason",
    ),
    Mutant(
        promise="commands: one that may be a repeat ends no run",
        package="peridotsill_jobs",
        module="_fleet.py",
        old="return not self.may_be_repeat and ",
        new="return ",
        feature="maintenance",
        scenario="had been done before ends no run",
    ),
    Mutant(
        promise="commands: a command ends no later lifetime of a runner",
        package="peridotsill_jobs",
        module="_fleet.py",
        old=" and worker.lifetime == self.lifetime",
        new="",
        feature="maintenance",
        scenario="ends no run of the runner's next lifetime",
    ),
    Mutant(
        promise="commands: a VM that is where it is to move may be a repeat's",
        package="peridotsill_jobs",
        module="_fleet.py",
        old="        operation.may_be_repeat |= is_in_pool\n",
        new="",
        feature="maintenance",
        scenario="A move that had been done before",
    ),
    Mutant(
        promise="commands: what a first command has ended is requeued",
        package="peridotsill_jobs",
        module="_fleet.py",
        old="return not self.may_be_repeat and worker",
        new="return False and worker",
        feature="maintenance",
        scenario="What a first command has ended",
    ),
    Mutant(
        promise="crashes: a start that was not sent does not count",
        package="peridotsill_jobs",
        module="_suspects.py",
        old="                and worker.may_have_begun(placed)\n",
        new="",
        feature="suspects",
        scenario="A start that was never sent",
    ),
    Mutant(
        promise="crashes: a start that got no answer may have begun",
        package="peridotsill_jobs",
        module="_orders.py",
        old="            if error.sent:\n",
        new="            if False:\n",
        feature="crashes",
        scenario="before it answers the start",
    ),
    Mutant(
        promise="crashes: runs that were lost to silence are remembered",
        package="peridotsill_jobs",
        module="_workers.py",
        old="            *self.lost_runs,\n",
        new="",
        feature="suspects",
        scenario="Runs that were lost to silence",
    ),
    Mutant(
        promise="crashes: a lower bound of a run's age is not its age",
        package="peridotsill_jobs",
        module="_workers.py",
        old="        return self.last_answered_at > 0 or is_unconfirmed",
        new="        return True",
        feature="suspects",
        scenario="A long-lived run of an earlier scheduler",
    ),
    Mutant(
        promise="crashes: uncertain ones give a task up, too",
        package="peridotsill_scheduler",
        module="_crashes.py",
        old="        return count >= (",
        new="        return count >= 99 + (",
        feature="suspects",
        scenario="Who is given up",
    ),
    Mutant(
        promise="crashes: one counts from when calls began to fail",
        package="peridotsill_jobs",
        module="_runner_client.py",
        old="        if self._failing_since is None:",
        new="        if True:",
        feature="calls",
        scenario="Since when a runner's process",
    ),
    Mutant(
        promise="crashes: those of the VMs are read from the rows",
        package="peridotsill_jobs",
        module="_suspects.py",
        old="        for crash_id, host in hosts.items():",
        new="        for crash_id, host in ():",
        feature="suspects",
        scenario="knows which VMs crashed",
    ),
    Mutant(
        promise="starts: none is planned by an old registry",
        package="peridotsill_jobs",
        module="_controller.py",
        old="        valid = now < registry.valid_until",
        new="        valid = True",
        feature="controller",
        scenario="Nothing is started by a registry",
    ),
    Mutant(
        promise="starts: none is sent by an old registry",
        package="peridotsill_jobs",
        module="_orders.py",
        old="        if _clock.monotonic_seconds() > order.send_before:",
        new="        if False:",
        feature="controller",
        scenario="A queued start is not sent",
    ),
    Mutant(
        promise="starts: the registry is looked at again after the commit",
        package="peridotsill_jobs",
        module="_controller.py",
        old="        return not reason",
        new="        return True",
        feature="controller",
        scenario="changed during its commit",
    ),
    Mutant(
        promise="lifetimes: the known one lives if it answers",
        package="peridotsill_jobs",
        module="_lifetimes.py",
        old="        worker.lifetime != event.report.lifetime\n",
        new="        True\n",
        feature="lifetimes",
        scenario="The registry names another lifetime",
    ),
    Mutant(
        promise="lifetimes: the one that the registry names is connected to",
        package="peridotsill_jobs",
        module="_workers.py",
        old="                self._update_candidate(worker, entry)",
        new="                pass",
        feature="lifetimes",
        scenario="The lifetime that the registry names answers",
    ),
    Mutant(
        promise="lifetimes: an answer from before the rows proves nothing",
        package="peridotsill_jobs",
        module="_workers.py",
        old="        if requested_at < self._awaiting_since.get(runner, 0.0):",
        new="        if False:",
        feature="lifetimes",
        scenario="An answer to a request from before the rows",
    ),
    Mutant(
        promise="lifetimes: an ended one is not connected to again",
        package="peridotsill_jobs",
        module="_workers.py",
        old="        if entry.lifetime not in worker.ended_lifetimes:",
        new="        if True:",
        feature="lifetimes",
        scenario="A lifetime that the registry does not have yet",
    ),
    Mutant(
        promise="lifetimes: an answer that names none proves nothing",
        package="peridotsill_jobs",
        module="_lifetimes.py",
        old="not asked or not lifetime:",
        new="not asked:",
        feature="lifetimes",
        scenario="An answer without a lifetime",
    ),
    Mutant(
        promise="lifetimes: a start may have reached the next one",
        package="peridotsill_jobs",
        module="_lifetimes.py",
        old="            elif placed.last_answered_at >= event.requested_at:",
        new="            elif False:",
        feature="lifetimes",
        scenario="A start may have reached the next",
    ),
    Mutant(
        promise="lifetimes: a run that the next one lists goes on",
        package="peridotsill_jobs",
        module="_lifetimes.py",
        old="            if (*key, placed.run) in reported:",
        new="            if False:",
        feature="lifetimes",
        scenario="A start has reached the next lifetime",
    ),
    Mutant(
        promise="lifetimes: leases by the former one's clock are waited for",
        package="peridotsill_jobs",
        module="_workers.py",
        old="    return worker.took_over_at + longest",
        new="    return -longest",
        feature="lifetimes",
        scenario="A start has reached the next lifetime, which",
    ),
    Mutant(
        promise="lifetimes: a link that another one answers is paused",
        package="peridotsill_jobs",
        module="_runner_polling.py",
        old="            self._paused = True\n        else:",
        new="            pass\n        else:",
        feature="lifetimes",
        scenario="A link that another lifetime answers",
    ),
    Mutant(
        promise="unreached: one list of VMs without a runner proves nothing",
        package="peridotsill_jobs",
        module="_departures.py",
        old="_LIST_AGREEMENT_SECONDS = 1.0",
        new="_LIST_AGREEMENT_SECONDS = 0.0",
        feature="ended_unreached",
        scenario="A runner may live while every second list has it",
    ),
    Mutant(
        promise="unreached: a runner that is in the registry may live",
        package="peridotsill_jobs",
        module="_departures.py",
        old="if self._is_unregistered(runner) and not any(",
        new="if not any(",
        feature="ended_unreached",
        scenario="A runner may live while the registry has it",
    ),
    Mutant(
        promise="unreached: an entry may be back two seconds after the store",
        package="peridotsill_jobs",
        module="_departures.py",
        old="_REGISTRY_ABSENCE_SECONDS = 2.0",
        new="_REGISTRY_ABSENCE_SECONDS = 0.0",
        feature="ended_unreached",
        scenario="The two seconds begin",
    ),
    Mutant(
        promise="unreached: the two seconds begin anew after a failed read",
        package="peridotsill_jobs",
        module="_departures.py",
        old="        self._registry_reads = ()\n\n    def record_vm_list",
        new="        pass\n\n    def record_vm_list",
        feature="ended_unreached",
        scenario="The two seconds begin anew after a failed read",
    ),
    Mutant(
        promise="unreached: an entry that can't be read counts as there",
        package="peridotsill_jobs",
        module="_feeds.py",
        old="                unreadable_ids.add(",
        new="                str(",
        feature="ended_unreached",
        scenario="has an entry of it that can't be read",
    ),
    Mutant(
        promise="unreached: a VM that is up without a runner may have it",
        package="peridotsill_jobs",
        module="_departures.py",
        old="    if vm.runner or vm.state in _ports.STATES_WITHOUT_RUNNER:",
        new="    if True:",
        feature="ended_unreached",
        scenario="A runner may live while a VM that is up has no runner",
    ),
    Mutant(
        promise="unreached: a VM that is off needs no runner",
        package="peridotsill_jobs",
        module="_departures.py",
        old="    return not is_off",
        new="    return True",
        feature="ended_unreached",
        scenario="A standby pool has VMs without runners",
    ),
    Mutant(
        promise="unreached: a list from before it was known proves nothing",
        package="peridotsill_jobs",
        module="_departures.py",
        old="or lists[0].requested_at < since + _feeds.VM_LIST_LAG_SECONDS",
        new="or False",
        feature="ended_unreached",
        scenario="A runner may live while the VMs are listed at the takeover",
    ),
    Mutant(
        promise="unreached: a runner that a VM has may live",
        package="peridotsill_jobs",
        module="_departures.py",
        old="or any(runner in each.runners for each in lists)",
        new="or False",
        feature="ended_unreached",
        scenario="A runner may live while a VM that is up has it",
    ),
    Mutant(
        promise="unreached: a runner that has answered is waited for",
        package="peridotsill_jobs",
        module="_workers.py",
        old='worker.link.reached:\n            return ""\n        departed',
        new='False:\n            return ""\n        departed',
        feature="ended_unreached",
        scenario="A runner that has answered is waited for",
    ),
    Mutant(
        promise="unreached: another lifetime of an ended runner may live",
        package="peridotsill_jobs",
        module="_workers.py",
        old="departed is not None and self._lifetimes_of(runner) <= departed:",
        new="departed is not None:",
        feature="ended_unreached",
        scenario="The runner comes back in another lifetime",
    ),
    Mutant(
        promise="unreached: a runner that answers after all may live",
        package="peridotsill_jobs",
        module="_workers.py",
        old="        self._departed.pop(worker.entry.id, None)\n",
        new="",
        feature="ended_unreached",
        scenario="A runner that was held to have ended is in use again",
    ),
    Mutant(
        promise="unreached: no order queued for an ended runner is sent",
        package="peridotsill_jobs",
        module="_workers.py",
        old="lost_runs.clear()\n            self._connect_anew(worker)",
        new="lost_runs.clear()",
        feature="ended_unreached",
        scenario="The VM of a runner that does not answer",
    ),
    Mutant(
        promise="unreached: the next holder doesn't wait for an ended runner",
        package="peridotsill_jobs",
        module="_workers.py",
        old="        if self._why_ended(runner):\n            return 0.0",
        new="        if False:\n            return 0.0",
        feature="ended_unreached",
        scenario="The next holder is left no wait",
    ),
)


def run(mutant: Mutant, folder: pathlib.Path) -> str:
    """Run a mutant's scenario; return a line on the result."""
    copy = folder / "packages"
    if copy.exists():
        shutil.rmtree(copy)
    shutil.copytree(_ROOT / "packages", copy)
    path = folder / _SRC.format(mutant.package, mutant.module)
    text = path.read_text()
    if mutant.old not in text:
        return "STALE: the text to replace is not in the module"
    path.write_text(text.replace(mutant.old, mutant.new, 1))
    sources = [str(each / "src") for each in copy.iterdir()]
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join([*sources, str(_ROOT / "tests")]),
        "MUTANT_PATH": os.pathsep.join(sources),
    }
    feature = _ROOT / "tests" / "features" / f"{mutant.feature}.feature"
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "behave",
            "--no-color",
            str(feature),
            "-n",
            mutant.scenario,
        ],
        cwd=_ROOT,
        env=environment,
        capture_output=True,
        text=True,
    )
    if completed.returncode == 0:
        return "SURVIVED: the scenario passed"
    lines = completed.stdout.splitlines()
    failures = [line.strip() for line in lines if "ASSERT FAILED" in line]
    return "failed as it must: " + (
        failures[0][:140] if failures else lines[-4]
    )


def main() -> None:
    """Run all mutants, or those whose promise contains an argument."""
    words = sys.argv[1:]
    with tempfile.TemporaryDirectory() as name:
        for mutant in MUTANTS:
            if words and not any(word in mutant.promise for word in words):
                continue
            print(
                f"{mutant.promise}\n    {run(mutant, pathlib.Path(name))}",
                flush=True,
            )


if __name__ == "__main__":
    main()
