"""Commands to the VM service, each in a thread until its end is known."""

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
_RETRY_SECONDS = 0.4


class CommandKind(peridotsill.TextEnum):
    """What is done with a VM."""

    MOVE = "move"
    MAINTAIN = "maintain"


@attrs.frozen(kw_only=True)
class Command:
    """A VM to be moved to ``pool``, or maintained for ``wave``."""

    kind: CommandKind
    vm: str
    pool: str = ""
    wave: int = 0


class CommandResult(peridotsill.TextEnum):
    """What came of a command.

    BUSY says that it was not taken; UNSURE that an earlier try without an
    answer may be at work, which would make the VM busy too.
    """

    DONE = "done"
    BUSY = "busy"
    UNSURE = "unsure"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class CommandOutcome:
    """The end of a command; ``at`` is in steady seconds."""

    command: Command
    result: CommandResult
    reason: str
    at: float


class Commander:
    """Sends commands under the lease's epoch.

    A command without an answer may be carried out later, so it is sent
    again, which is safe, until the service answers or the lease is lost.
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
        """Send a command from a thread of its own."""
        _logs.log(
            "vm:command",
            kind=str(command.kind),
            vm=command.vm,
            pool=command.pool,
            wave=command.wave,
            epoch=self._lease.epoch,
        )
        threading.Thread(
            target=self._run, args=(command,), daemon=True, name=command.vm
        ).start()

    def stop(self) -> None:
        """Send no command again."""
        self._stopped.set()

    def _run(self, command: Command) -> None:
        unanswered = False
        while not self._stopped.is_set():
            if not self._lease.held:
                if self._lease.lost:
                    return
                self._stopped.wait(_RETRY_SECONDS)
                continue
            try:
                self._call(command)
            except exceptions.FleetBusy as error:
                result = (
                    CommandResult.UNSURE if unanswered else CommandResult.BUSY
                )
                self._end(command, result, str(error))
                return
            except exceptions.FleetRefused as error:
                self._end(command, CommandResult.REFUSED, str(error))
                return
            except exceptions.Fenced as error:
                self._lease.lose(str(error))
                return
            except exceptions.FleetError as error:
                unanswered = True
                _logs.log(
                    "vm:command_unanswered",
                    vm=command.vm,
                    reason=str(error),
                )
                self._stopped.wait(_RETRY_SECONDS)
            else:
                self._end(command, CommandResult.DONE, "")
                return

    def _call(self, command: Command) -> None:
        epoch = self._lease.epoch
        if command.kind is CommandKind.MOVE:
            self._vms.move(
                command.vm, command.pool, holder=self._node, fence=epoch
            )
            return
        self._vms.maintain(
            command.vm, command.wave, holder=self._node, fence=epoch
        )

    def _end(
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
                at=_clock.awake_seconds(),
            )
        )
