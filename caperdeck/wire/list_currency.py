"""Decides whether the list of hosts may still be used for new sessions. No I/O and no clock.

Where lists are pushed, a change counts as notified once discovery has it, whether or not a watch is open, and
from the first moment of a process. The list is current while no such change can be missing from it. Times are
seconds of one monotonic clock, which two processes of a node read alike.
"""

from __future__ import annotations

import math

NEW_ADDRESS_GRACE_S = 4.0  # until the changes that a new discovery has count as notified


class ListCurrency:
    """Whether the list is current, by the lines, calls and watches of discovery.

    `lifetime` is how long the list stays current after its watch has ended; infinite if lists are not pushed.
    """

    def __init__(self, lifetime: float, now: float) -> None:
        self.lifetime = lifetime
        # From this time on, only a line of discovery makes the list current; None if it is.
        self.unconfirmed_from: float | None = now
        self.watch_ended_at: float | None = None  # None once a later call was answered or failed
        self.refresh_pending = False  # the list has expired, and no call since has brought a line or failed

    # ---- what happens

    def line_received(self) -> None:
        """Discovery has sent a line that could be read: the list is what it has."""
        self.unconfirmed_from = None
        self.call_concluded()

    def call_concluded(self) -> None:
        """A call was answered or refused, or it failed; a list whose watch had ended is used on."""
        self.watch_ended_at = None
        self.refresh_pending = False

    def nobody_listens(self) -> None:
        """No process listens as discovery, so that there is none that was told of a change."""
        self.unconfirmed_from = None
        self.call_concluded()

    def watch_ended(self, now: float, noticed_late: bool) -> None:
        """The watch was closed or reset, perhaps long before that was noticed."""
        self.watch_ended_at = now - self.lifetime if noticed_late and math.isfinite(self.lifetime) else now

    def watch_fell_silent(self) -> None:
        """The list does not expire: a change that a silent watch misses counts as notified later."""
        self.watch_ended_at = None

    def address_changed(self, now: float) -> None:
        """The list comes from another discovery than the one that is watched from now on."""
        deadline = now + NEW_ADDRESS_GRACE_S
        if self.unconfirmed_from is None or deadline < self.unconfirmed_from:
            self.unconfirmed_from = deadline

    def take_expiry(self, now: float) -> bool:
        """Whether the list has expired after the end of its watch; True once per watch."""
        if self.watch_ended_at is None or now - self.watch_ended_at < self.lifetime:
            return False
        self.watch_ended_at = None
        self.refresh_pending = True
        return True

    # ---- what follows

    def is_current(self, now: float) -> bool:
        """Whether no change that counts as notified can be missing; always true if lists are not pushed."""
        if math.isinf(self.lifetime):
            return True
        confirmed = self.unconfirmed_from is None or now < self.unconfirmed_from
        return confirmed and not self.refresh_pending

    def current_until(self, now: float) -> float | None:
        """When the list stops being current unless discovery is heard; None while a watch confirms it."""
        times = [self.unconfirmed_from] if self.unconfirmed_from is not None else []
        if self.refresh_pending:
            times.append(now)
        if self.watch_ended_at is not None and math.isfinite(self.lifetime):
            times.append(self.watch_ended_at + self.lifetime)
        return min(times, default=None)
