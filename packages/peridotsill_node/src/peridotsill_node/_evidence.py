"""What this node and its siblings together know of the VMs' health."""

import collections
import typing

import peridotsill

from peridotsill_node import _availability
import peridotsill_platform
import peridotsill_siblings
import peridotsill_upstreams


class Witness:
    """Joins own probes, siblings' reports and the platform's list."""

    def __init__(
        self,
        *,
        view: peridotsill.View,
        membership: peridotsill_siblings.Membership,
        health: peridotsill_upstreams.Health,
        listed: typing.Callable[
            [], tuple[peridotsill_platform.ListedVm, ...] | None
        ],
    ) -> None:
        self._view = view
        self._membership = membership
        self._health = health
        self._listed = listed

    def evidence(self) -> _availability.Evidence:
        """Return what is known now."""
        beats = self._membership.live()
        reports = [frozenset(beat.down_vms) for beat in beats]
        reports.append(frozenset(self._health.down()))
        counts = collections.Counter(vm for down in reports for vm in down)
        most = len(reports) // 2 + 1
        leaving = set(self._health.leaving()) | set(self.listed_leaving())
        for beat in beats:
            leaving |= set(beat.leaving_vms)
        return _availability.Evidence(
            down=frozenset(counts),
            leaving=frozenset(leaving),
            unlisted=frozenset(self._unlisted()),
            confirmed=frozenset(
                vm for vm, count in counts.items() if count >= most
            ),
        )

    def listed_leaving(self) -> tuple[str, ...]:
        """Return the VMs that the platform's list shows as leaving."""
        leaving = peridotsill_platform.VmPhase.LEAVING
        listed = self._listed() or ()
        return tuple(vm.name for vm in listed if vm.phase is leaving)

    def _unlisted(self) -> tuple[str, ...]:
        listed = self._listed()
        if listed is None:
            return ()
        names = {vm.name for vm in listed}
        rows = self._view.resources("vms")
        return tuple(vm.name for vm in rows if vm.name not in names)

    def condition(self, pool: peridotsill.Pool) -> _availability.PoolCondition:
        """Judge a pool by the view and by what is known now."""
        return _availability.condition_of(
            pool, self._view.vms_of(pool.name), self.evidence()
        )
