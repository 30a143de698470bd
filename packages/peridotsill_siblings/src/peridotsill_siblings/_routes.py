"""HTTP routes that a node serves to its siblings."""

import typing

import peridotsill

from peridotsill_siblings import _messages

routes = peridotsill.Routes()


class SiblingTarget(typing.Protocol):
    """Handles the calls that siblings make to this node."""

    def on_heartbeat(
        self, heartbeat: _messages.Heartbeat
    ) -> _messages.Heartbeat:
        """Record a sibling's heartbeat and return this node's."""

    def on_slots(self, batch: _messages.SlotBatch) -> _messages.SlotReplies:
        """Handle a sibling's slot requests, releases and replies."""

    def on_push(self, push: _messages.Push) -> None:
        """Merge rows that a sibling committed into the local view."""

    def state_copy(self) -> _messages.StateCopy:
        """Return this node's copy of the table."""

    def find_decisions(self, subject: str) -> tuple[peridotsill.Decision, ...]:
        """Return this node's recent decisions about a subject."""


@routes.add("POST", "/siblings/heartbeat")
def _heartbeat(
    target: SiblingTarget, request: peridotsill.JsonRequest
) -> object:
    heartbeat = peridotsill.decode(
        request.body, _messages.Heartbeat, strict=False
    )
    return target.on_heartbeat(heartbeat)


@routes.add("POST", "/siblings/slots")
def _slots(target: SiblingTarget, request: peridotsill.JsonRequest) -> object:
    batch = peridotsill.decode(request.body, _messages.SlotBatch)
    return target.on_slots(batch)


@routes.add("POST", "/siblings/push")
def _push(target: SiblingTarget, request: peridotsill.JsonRequest) -> object:
    target.on_push(peridotsill.decode(request.body, _messages.Push))
    return {}


@routes.add("POST", "/siblings/state")
def _state(target: SiblingTarget, request: peridotsill.JsonRequest) -> object:
    return target.state_copy()


@routes.add("POST", "/siblings/decisions/{}")
def _decisions(
    target: SiblingTarget, request: peridotsill.JsonRequest
) -> object:
    return target.find_decisions(request.path_parameters[0])
