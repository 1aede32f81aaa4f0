"""A desk whose processor time is counted."""

from typing import Any

from tamarackbridge.components.admission import desk
from tamarackbridge.components.telemetry import processor


class MeteredDesk(desk.AdmissionDesk):
    """Counts what decisions take."""

    def __init__(self, spent: processor.ProcessorTime, *args: Any) -> None:
        super().__init__(*args)
        self._spent = spent

    def pump(self) -> None:
        """Lets go what may go now, in fair order."""
        with self._spent.section(processor.Purpose.DECIDING):
            super().pump()
