"""Sends commands to the VM service, each from its own thread."""

import collections.abc
import threading

import attrs
import peridotsill

from peridotsill_jobs import _clock
from peridotsill_jobs import _lease
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import exceptions

# Pause before a command without an answer is sent again.
_RETRY_DELAY_SECONDS = 0.4


class CommandKind(peridotsill.TextEnum):
    """The kind of operation on a VM."""

    MOVE = "move"
    MAINTAIN = "maintain"


@attrs.frozen(kw_only=True)
class Command:
    """A command to move a VM to ``pool`` or maintain it for ``wave``."""

    kind: CommandKind
    vm: str
    pool: str = ""
    wave: int = 0


class CommandResult(peridotsill.TextEnum):
    """The result of a command.

    DONE: the service accepted the command. REFUSED: it did not, and a retry
    won't succeed. BUSY: the VM was busy, so the command was not accepted.
    UNSURE: the VM was busy, but perhaps because an earlier attempt whose
    answer was lost is being carried out.
    """

    DONE = "done"
    BUSY = "busy"
    UNSURE = "unsure"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class CommandOutcome:
    """The outcome of a command; ``ended_at`` is in monotonic seconds."""

    command: Command
    result: CommandResult
    reason: str
    ended_at: float


class CommandSender:
    """Sends commands with the lease's epoch as fencing token.

    A command without an answer may still be carried out. It is sent again,
    which is safe, until the service answers, the lease is lost or the sender
    is stopped. Nothing is sent while the lease has expired but may still be
    renewed.
    """

    def __init__(
        self,
        *,
        node: str,
        vms: _ports.VmService,
        lease: _lease.Lease,
        post: collections.abc.Callable[[CommandOutcome], None],
    ) -> None:
        self._node = node
        self._vms = vms
        self._lease = lease
        self._post = post
        self._stopped = threading.Event()

    def send(self, command: Command) -> None:
        """Send a command from a new thread."""
        _logs.log(
            "vm:command",
            kind=str(command.kind),
            vm=command.vm,
            pool=command.pool,
            wave=command.wave,
            epoch=self._lease.epoch,
        )
        threading.Thread(
            target=self._send_until_answered,
            args=(command,),
            daemon=True,
            name=command.vm,
        ).start()

    def stop(self) -> None:
        """Stop sending and repeating commands."""
        self._stopped.set()

    def _send_until_answered(self, command: Command) -> None:
        unanswered = False
        while not self._stopped.is_set():
            if not self._lease.held:
                if self._lease.lost:
                    return
                self._stopped.wait(_RETRY_DELAY_SECONDS)
                continue
            try:
                self._send_once(command)
            except exceptions.VmNotReady as error:
                result = (
                    CommandResult.UNSURE if unanswered else CommandResult.BUSY
                )
                self._report_outcome(command, result, str(error))
                return
            except exceptions.VmCommandRefused as error:
                self._report_outcome(
                    command, CommandResult.REFUSED, str(error)
                )
                return
            except exceptions.StaleFencingToken as error:
                self._lease.mark_lost(str(error))
                return
            except exceptions.VmServiceError as error:
                unanswered = True
                _logs.log(
                    "vm:command_unanswered",
                    vm=command.vm,
                    reason=str(error),
                )
                self._stopped.wait(_RETRY_DELAY_SECONDS)
            else:
                self._report_outcome(command, CommandResult.DONE, "")
                return

    def _send_once(self, command: Command) -> None:
        epoch = self._lease.epoch
        if command.kind is CommandKind.MOVE:
            self._vms.move(
                command.vm, command.pool, holder=self._node, fence=epoch
            )
            return
        self._vms.maintain(
            command.vm, command.wave, holder=self._node, fence=epoch
        )

    def _report_outcome(
        self, command: Command, result: CommandResult, reason: str
    ) -> None:
        _logs.log(
            "vm:command_ended",
            kind=str(command.kind),
            vm=command.vm,
            outcome=str(result),
            reason=reason,
        )
        self._post(
            CommandOutcome(
                command=command,
                result=result,
                reason=reason,
                ended_at=_clock.monotonic_seconds(),
            )
        )
