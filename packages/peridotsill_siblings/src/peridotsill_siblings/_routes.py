"""HTTP routes that a node serves to its siblings."""

import typing

import peridotsill

from peridotsill_siblings import _messages

routes = peridotsill.Routes()


class SiblingBackend(typing.Protocol):
    """Handles the calls that siblings make to this node."""

    def on_heartbeat(
        self, heartbeat: _messages.Heartbeat
    ) -> _messages.Heartbeat:
        """Record a sibling's heartbeat and return this node's."""

    def on_slots(self, batch: _messages.SlotBatch) -> _messages.SlotReplies:
        """Handle a sibling's slot requests, releases and replies."""

    def on_push(self, push: _messages.Push) -> None:
        """Update the local view with rows that a sibling committed."""

    def state_copy(self) -> _messages.StateCopy:
        """Return this node's copy of the table."""

    def find_decisions(self, subject: str) -> tuple[peridotsill.Decision, ...]:
        """Return this node's recent decisions with this id or subject."""


@routes.add("POST", "/siblings/heartbeat")
def _heartbeat(
    backend: SiblingBackend, request: peridotsill.JsonRequest
) -> object:
    heartbeat = peridotsill.decode(
        request.body, _messages.Heartbeat, strict=False
    )
    return backend.on_heartbeat(heartbeat)


@routes.add("POST", "/siblings/slots")
def _slots(
    backend: SiblingBackend, request: peridotsill.JsonRequest
) -> object:
    batch = peridotsill.decode(request.body, _messages.SlotBatch)
    return backend.on_slots(batch)


@routes.add("POST", "/siblings/push")
def _push(backend: SiblingBackend, request: peridotsill.JsonRequest) -> object:
    backend.on_push(peridotsill.decode(request.body, _messages.Push))
    return {}


@routes.add("POST", "/siblings/state")
def _state(
    backend: SiblingBackend, request: peridotsill.JsonRequest
) -> object:
    return backend.state_copy()


@routes.add("POST", "/siblings/decisions/{}")
def _decisions(
    backend: SiblingBackend, request: peridotsill.JsonRequest
) -> object:
    return backend.find_decisions(request.path_parameters[0])
