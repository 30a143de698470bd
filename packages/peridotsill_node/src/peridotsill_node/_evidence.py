"""VM health as seen by this node, its siblings and the platform."""

import collections
import typing

import peridotsill

from peridotsill_node import _availability
import peridotsill_platform
import peridotsill_siblings
import peridotsill_upstreams


class EvidenceCollector:
    """Combines own probes, siblings' reports and the platform's VM list."""

    def __init__(
        self,
        *,
        view: peridotsill.TableView,
        membership: peridotsill_siblings.Membership,
        health: peridotsill_upstreams.Health,
        listed_vms: typing.Callable[
            [], tuple[peridotsill_platform.ListedVm, ...] | None
        ],
    ) -> None:
        self._view = view
        self._membership = membership
        self._health = health
        self._get_listed_vms = listed_vms

    def evidence(self) -> _availability.Evidence:
        """Return the current evidence on all VMs.

        A VM counts as down if any node reports it, and as confirmed down
        if a majority of the live nodes do.
        """
        heartbeats = self._membership.live_heartbeats()
        reports = [frozenset(heartbeat.down_vms) for heartbeat in heartbeats]
        reports.append(frozenset(self._health.vms_failing_probes()))
        counts = collections.Counter(vm for down in reports for vm in down)
        majority = len(reports) // 2 + 1
        leaving = set(self._health.leaving_vms()) | set(self.listed_leaving())
        for heartbeat in heartbeats:
            leaving |= set(heartbeat.leaving_vms)
        return _availability.Evidence(
            down=frozenset(counts),
            leaving=frozenset(leaving),
            unlisted=frozenset(self._unlisted_vms()),
            confirmed_down=frozenset(
                vm for vm, count in counts.items() if count >= majority
            ),
        )

    def listed_leaving(self) -> tuple[str, ...]:
        """Return the VMs that are leaving according to the platform's list."""
        leaving = peridotsill_platform.VmPhase.LEAVING
        listed_vms = self._get_listed_vms() or ()
        return tuple(vm.name for vm in listed_vms if vm.phase is leaving)

    def _unlisted_vms(self) -> tuple[str, ...]:
        listed_vms = self._get_listed_vms()
        if listed_vms is None:
            return ()
        names = {vm.name for vm in listed_vms}
        rows = self._view.resources("vms")
        return tuple(vm.name for vm in rows if vm.name not in names)

    def condition(self, pool: peridotsill.Pool) -> _availability.PoolCondition:
        """Return a pool's condition by the view and the current evidence."""
        return _availability.condition_of(
            pool, self._view.vms_of(pool.name), self.evidence()
        )
