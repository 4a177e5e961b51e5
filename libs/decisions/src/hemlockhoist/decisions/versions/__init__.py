"""Version moves: traffic shares, sequential tests, and orders to upstreams."""

from hemlockhoist.decisions.versions.controller import MoveController
from hemlockhoist.decisions.versions.events import (
    Finished,
    Halted,
    Late,
    MoveEvent,
    TakenBack,
    UpstreamSetApart,
    Widened,
)
from hemlockhoist.decisions.versions.move import (
    LaneShare,
    Move,
    MoveAnnouncement,
    MoveRequest,
    MoveState,
    cancel_move,
    confirm_move,
    finish_move,
    follow_move,
    is_older,
    known_standings,
    replace_versions,
    roll_back_move,
    start_move,
    widen_move,
    with_row_standing,
    without_row_standing,
)
from hemlockhoist.decisions.versions.orders import Order, OrderState, OrderTracker
from hemlockhoist.decisions.versions.own_trial import OwnTrial, OwnVerdict
from hemlockhoist.decisions.versions.standings import (
    Standing,
    VersionStanding,
    find_standing,
)
from hemlockhoist.decisions.versions.trial import UNBOUNDED, TrialBound

__all__ = [
    "Finished",
    "Halted",
    "LaneShare",
    "Late",
    "Move",
    "MoveAnnouncement",
    "MoveController",
    "MoveEvent",
    "MoveRequest",
    "MoveState",
    "Order",
    "OrderState",
    "OrderTracker",
    "OwnTrial",
    "OwnVerdict",
    "Standing",
    "TakenBack",
    "UNBOUNDED",
    "TrialBound",
    "UpstreamSetApart",
    "VersionStanding",
    "Widened",
    "cancel_move",
    "confirm_move",
    "find_standing",
    "finish_move",
    "follow_move",
    "is_older",
    "known_standings",
    "replace_versions",
    "roll_back_move",
    "start_move",
    "widen_move",
    "with_row_standing",
    "without_row_standing",
]
