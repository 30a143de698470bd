"""What is remembered of reservations from one round to the next."""

import attrs

from peridotsill_scheduler import _reservations

# A reservation is given up after this multiple of the wait that was expected
# when it was made, and not before the minimum; the next one for the same step
# after twice the time. Runs may last twice as long as estimated.
_GIVE_UP_FACTOR = 3.0
_MIN_GIVE_UP_SECONDS = 3.0
_MAX_GIVE_UP_SECONDS = 600.0
# Largest pause of a step after one of its reservations was given up.
_MAX_PAUSE_SECONDS = 30.0
# How long after a pause its step is remembered.
_PAUSE_MEMORY_SECONDS = 120.0
_MAX_PAUSES = 64


@attrs.define(kw_only=True)
class Standing:
    """A reservation that stood in the last round.

    It stands since ``since``, was then expected to be free at
    ``expected_at``, and is given up at ``give_up_at``. Others may use the
    capacity until ``gap_until``. Times are in seconds of the monotonic clock.
    ``runners`` are those of its VMs, each with its lifetime. ``late`` tells
    that its job was too late to earn anything when it was made.
    """

    since: float
    expected_at: float
    give_up_at: float
    gap_until: float
    runners: frozenset[tuple[str, int]]
    late: bool = False


@attrs.frozen(kw_only=True)
class ReservationChange:
    """A reservation that was made, or has been released for a ``reason``.

    ``wait_seconds`` is how long it was expected to stand when it was made, or
    for how long it stood.
    """

    key: _reservations.StepKey
    runners: frozenset[tuple[str, int]]
    wait_seconds: float
    reason: str = ""


@attrs.frozen(kw_only=True)
class _Pause:
    until: float
    count: int


class ReservationMemory:
    """The standing reservations of a pool, and the steps without for a while.

    The reservations are worked out anew in each round. Without the memory, as
    after a takeover, they begin anew.
    """

    def __init__(self) -> None:
        self.standing: dict[_reservations.StepKey, Standing] = {}
        # Whether the next one is for a job that is late, if there is one.
        self.is_turn_of_late = False
        self._pauses: dict[_reservations.StepKey, _Pause] = {}
        self._changes: list[ReservationChange] = []

    @property
    def is_empty(self) -> bool:
        """Whether no reservation and no pause is remembered."""
        return not (self.standing or self._pauses)

    def pop_changes(self) -> list[ReservationChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def is_paused(self, key: _reservations.StepKey, now: float) -> bool:
        """Tell whether nothing may be reserved for a step for now."""
        pause = self._pauses.get(key)
        return pause is not None and now < pause.until

    def add(
        self,
        key: _reservations.StepKey,
        reservation: _reservations.Reservation,
        now: float,
        *,
        late: bool,
    ) -> None:
        """Remember a new reservation."""
        self.is_turn_of_late = not late
        wait = reservation.at - now
        pause = self._pauses.get(key)
        limit = max(_MIN_GIVE_UP_SECONDS, wait * _GIVE_UP_FACTOR)
        limit *= 2.0 ** (pause.count if pause else 0)
        runners = _runners(reservation)
        self.standing[key] = Standing(
            since=now,
            expected_at=reservation.at,
            give_up_at=now + min(limit, _MAX_GIVE_UP_SECONDS),
            gap_until=reservation.at,
            runners=runners,
            late=late,
        )
        reservation.gap_until = reservation.at
        self._changes.append(
            ReservationChange(key=key, runners=runners, wait_seconds=wait)
        )

    def renew(
        self,
        key: _reservations.StepKey,
        reservation: _reservations.Reservation,
    ) -> None:
        """Remember that a reservation stands in this round as well.

        On the same VMs, the time until which others may use the capacity
        doesn't move later, or they could keep it busy for ever.
        """
        standing = self.standing[key]
        runners = _runners(reservation)
        if runners == standing.runners:
            standing.gap_until = min(standing.gap_until, reservation.at)
        else:
            standing.runners = runners
            standing.gap_until = reservation.at
            standing.expected_at = reservation.at
        reservation.gap_until = standing.gap_until

    def release(
        self, key: _reservations.StepKey, reason: str, now: float
    ) -> None:
        """Forget a reservation."""
        standing = self.standing.pop(key)
        self._changes.append(
            ReservationChange(
                key=key,
                runners=standing.runners,
                wait_seconds=now - standing.since,
                reason=reason,
            )
        )

    def give_up(self, key: _reservations.StepKey, now: float) -> None:
        """Release a reservation, and allow the step no other for a while."""
        stood = now - self.standing[key].since
        former = self._pauses.get(key)
        self.release(key, "given_up", now)
        self._pauses[key] = _Pause(
            until=now + min(stood, _MAX_PAUSE_SECONDS),
            count=former.count + 1 if former else 1,
        )
        self._forget_pauses(now)

    def _forget_pauses(self, now: float) -> None:
        newest = sorted(self._pauses.items(), key=lambda each: -each[1].until)
        self._pauses = {
            key: pause
            for key, pause in newest[:_MAX_PAUSES]
            if now < pause.until + _PAUSE_MEMORY_SECONDS
        }


def _runners(
    reservation: _reservations.Reservation,
) -> frozenset[tuple[str, int]]:
    return frozenset((vm.runner, vm.lifetime) for vm in reservation.vms)
