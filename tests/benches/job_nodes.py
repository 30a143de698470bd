"""What idle job nodes cost, on the stand-in of the users' platform."""

import time

import attrs
from emulator import nodes
import psutil

VMS = 24
# After the start until the nodes only follow and watch.
_SETTLE_SECONDS = 4.0
_SECONDS = 10.0


@attrs.frozen(kw_only=True)
class IdleCost:
    """Cost of idle nodes; processor in cores, traffic in bytes a second.

    ``node_cpu`` is the mean of the nodes that don't schedule. Traffic is
    that of all nodes with the table, the VM service and the runners,
    divided by the nodes.
    """

    nodes: int
    node_cpu: float
    scheduler_cpu: float
    memory_bytes: int
    node_traffic: float


def measure(count: int) -> IdleCost:
    """Run idle nodes over 24 VMs for ten seconds."""
    with nodes.cluster(nodes=count, pools={"a": VMS // 2, "b": VMS // 2}) as (
        made
    ):
        time.sleep(_SETTLE_SECONDS)
        scheduler = made.scheduler().process.pid
        processes = [psutil.Process(n.process.pid) for n in made.nodes]
        before = {each.pid: _spent(each) for each in processes}
        sent = _loopback_bytes()
        time.sleep(_SECONDS)
        traffic = (_loopback_bytes() - sent) / _SECONDS / count
        cpu = {
            each.pid: (_spent(each) - before[each.pid]) / _SECONDS
            for each in processes
        }
        memory = max(each.memory_info().rss for each in processes)
        if made.scheduler().process.pid != scheduler:
            raise RuntimeError("the scheduler changed while it was measured")
    scheduler_cpu = cpu.pop(scheduler)
    return IdleCost(
        nodes=count,
        node_cpu=sum(cpu.values()) / len(cpu),
        scheduler_cpu=scheduler_cpu,
        memory_bytes=memory,
        node_traffic=traffic,
    )


def _spent(process: psutil.Process) -> float:
    return sum(process.cpu_times()[:2])


def _loopback_bytes() -> int:
    return psutil.net_io_counters(pernic=True)["lo"].bytes_sent
