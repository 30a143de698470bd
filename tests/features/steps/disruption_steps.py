"""Steps for the steps of a disruption, with a VM that answers probes."""

import http.server
import threading
import unittest.mock

from behave import given
from behave import then
from behave import when
import peridotsill
from returns import result

from peridotsill_node import _disruptions
from peridotsill_node import _ownership
from peridotsill_platform import exceptions
import peridotsill_upstreams

_DISRUPTION = peridotsill.Disruption(
    id="wave-w-vm0", kind=peridotsill.DisruptionKind.REBOOT, wave="w"
)


class _Vm:
    """Serves a VM's health on one port; an empty answer closes at once."""

    def __init__(self):
        self.answer = b""
        self._server = None
        self._port = 0
        self.start()

    @property
    def address(self):
        return f"127.0.0.1:{self._port}"

    def start(self):
        vm = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                if vm.answer:
                    self.send_response(200)
                    self.send_header("Content-Length", str(len(vm.answer)))
                    self.end_headers()
                    self.wfile.write(vm.answer)

            def log_message(self, *args):
                pass

        self._server = http.server.HTTPServer(
            ("127.0.0.1", self._port), Handler
        )
        self._port = self._server.server_address[1]
        threading.Thread(
            target=self._server.serve_forever, args=(0.01,), daemon=True
        ).start()

    def stop(self):
        """Close the listener, so that connections are refused."""
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()
            self._server = None

    def answer_with_boot(self, boot):
        self.answer = b'{"boot": %d, "in_flight": 0}' % boot
        if self._server is None:
            self.start()


@given("a VM of boot 3 that this node has probed and that is to be rebooted")
def _make_disruption(context):
    context.emulated_vm = _Vm()
    context.add_cleanup(context.emulated_vm.stop)
    context.emulated_vm.answer_with_boot(3)
    context.vm = peridotsill.Vm(
        name="vm0",
        address=context.emulated_vm.address,
        domain="z",
        rack="r",
        pool="trails",
        disruption=_DISRUPTION,
    )
    context.workers = unittest.mock.Mock()
    _make_disruptions(context)
    context.disruptions.probe(context.vm)


def _make_disruptions(context):
    upstreams = peridotsill_upstreams.Upstreams(
        client="http",
        node_limit=1,
        idle_timeout_seconds=1.0,
        probe_seconds=60.0,
    )
    upstreams.health.sync((context.vm,))
    view = unittest.mock.Mock()
    view.rows.return_value = ()
    view.row.return_value = None
    writer = unittest.mock.Mock()
    writer.commit.return_value = result.Success(1)
    membership = unittest.mock.Mock()
    membership.live_heartbeats.return_value = ()
    context.disruptions = _disruptions.Disruptions(
        parts=_disruptions.DisruptionParts(
            view=view,
            writer=writer,
            workers=context.workers,
            upstreams=upstreams,
            membership=membership,
            journal=unittest.mock.Mock(),
            node="n0",
            jobs_on=lambda vm: (),
        )
    )
    context.writer = writer


@given("no node has probed the VM")
def _forget_probes(context):
    _make_disruptions(context)


def _advance(context):
    """Advance the disruption once, and take over what was written."""
    tenure = _ownership.Tenure(pool="trails", epoch=1, version=1)
    context.writer.commit.reset_mock()
    context.disruptions.advance(context.vm, tenure)
    for call in context.writer.commit.call_args_list:
        (write, *_) = call.args[1]
        context.vm = peridotsill.from_plain(write.value, peridotsill.Vm)


@when("the VM {fault} and its drain is checked")
def _check_drain(context, fault):
    match fault:
        case "refuses connections":
            context.emulated_vm.stop()
        case "closes connections":
            context.emulated_vm.answer = b""
        case _:
            context.emulated_vm.answer = b"<html>"
    _advance(context)


@when("the VM answers again, and the command to reboot it gets no answer")
def _answer_old_boot(context):
    context.workers.reboot.side_effect = exceptions.CommandUnanswered("away")
    context.emulated_vm.answer_with_boot(3)
    for _ in range(3):
        _advance(context)
    assert context.workers.reboot.called


@when("the VM has its next boot")
def _answer_next_boot(context):
    context.emulated_vm.answer_with_boot(4)
    _advance(context)


@then('the disruption is at step "{step}"')
def _check_step(context, step):
    assert context.vm.disruption is not None, context.vm
    assert str(context.vm.disruption.step) == step, context.vm
