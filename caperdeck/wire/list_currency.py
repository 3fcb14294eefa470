"""Decides whether the list of hosts may still be used for new sessions. No I/O and no clock.

Where lists are pushed, a change counts as notified once discovery has it, whether or not a watch is open, and
from the first moment of a process. The list is current while no such change can be missing from it. Times are
seconds of one monotonic clock, which two processes of a node read alike.
"""

from __future__ import annotations

import math

NEW_ADDRESS_GRACE_S = 4.0  # until the changes that a new discovery has count as notified
CALL_DELAY_PART = 0.5  # of the lifetime, until a silent discovery is called again; the rest is for the call


class ListCurrency:
    """Whether the list is current, by the lines, calls and watches of discovery.

    `lifetime` is how long the list stays current without a watch or a call that discovery could answer;
    infinite if lists are not pushed.
    """

    def __init__(self, lifetime: float, now: float) -> None:
        self.lifetime = lifetime
        # From this time on, only a line of discovery makes the list current; None if it is.
        self.unconfirmed_from: float | None = now
        self.watch_ended_at: float | None = None  # or a later call failed; None once one was answered
        self.contact_lost_at: float | None = None  # a silent watch or call was closed; None once called again
        self.refresh_pending = False  # the list has expired, and no call since has brought a line or failed

    # ---- what happens

    def line_received(self) -> None:
        """Discovery has sent a line that could be read: the list is what it has."""
        self.unconfirmed_from = None
        self.call_answered()

    def call_answered(self) -> None:
        """A call was answered or refused; a list whose watch had ended is used on."""
        self.watch_ended_at = self.contact_lost_at = None
        self.refresh_pending = False

    def call_failed(self, now: float) -> None:
        """A call failed; the list is used on, but discovery may be back and have changes from now on."""
        self.call_answered()
        self.watch_ended_at = now

    def nobody_listens(self, now: float) -> None:
        """No process listens as discovery, so that there is none that was told of a change so far."""
        self.unconfirmed_from = None
        self.call_failed(now)

    def connected(self) -> None:
        """A call waits for its answer, which comes as soon as discovery can send anything."""
        self.contact_lost_at = None

    def watch_ended(self, now: float, noticed_late: bool) -> None:
        """The watch was closed or reset, perhaps long before that was noticed."""
        self.watch_ended_at = now - self.lifetime if noticed_late and math.isfinite(self.lifetime) else now

    def silence_given_up(self, now: float) -> None:
        """A watch or call on which nothing came was closed; discovery may be back before the next call."""
        # Discovery learns nothing while it is silent, so the list is used on once a call waits there again.
        self.contact_lost_at = now

    def address_changed(self, now: float) -> None:
        """The list comes from another discovery than the one that is watched from now on."""
        deadline = now + NEW_ADDRESS_GRACE_S
        if self.unconfirmed_from is None or deadline < self.unconfirmed_from:
            self.unconfirmed_from = deadline

    def take_expiry(self, now: float) -> bool:
        """Whether the list has expired without a watch or call that could be answered; True once."""
        times = [time for time in (self.watch_ended_at, self.contact_lost_at) if time is not None]
        if not times or now - min(times) < self.lifetime:
            return False
        self.watch_ended_at = self.contact_lost_at = None
        self.refresh_pending = True
        return True

    # ---- what follows

    @property
    def max_call_delay(self) -> float:
        """The longest delay before a silent discovery is called again, in seconds."""
        return self.lifetime * CALL_DELAY_PART

    def is_current(self, now: float) -> bool:
        """Whether no change that counts as notified can be missing; always true if lists are not pushed."""
        if math.isinf(self.lifetime):
            return True
        confirmed = self.unconfirmed_from is None or now < self.unconfirmed_from
        return confirmed and not self.refresh_pending

    def current_until(self, now: float) -> float | None:
        """When the list stops being current unless discovery is heard; None while a watch confirms it."""
        # Without the time at which contact was lost: it ends with the call that a new process makes at once.
        times = [self.unconfirmed_from] if self.unconfirmed_from is not None else []
        if self.refresh_pending:
            times.append(now)
        if self.watch_ended_at is not None and math.isfinite(self.lifetime):
            times.append(self.watch_ended_at + self.lifetime)
        return min(times, default=None)
