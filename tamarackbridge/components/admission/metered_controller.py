"""Admission controller that measures its processor time."""

from typing import Any

from tamarackbridge.components.admission import controller
from tamarackbridge.components.telemetry import processor


class MeteredAdmissionController(controller.AdmissionController):
    """Admission controller that accounts the processor time of its passes."""

    def __init__(
        self, processor_time: processor.ProcessorTime, *args: Any
    ) -> None:
        super().__init__(*args)
        self._processor_time = processor_time

    def dispatch_waiting(self) -> None:
        """Sends the waiting requests that may be sent now, in fair order."""
        with self._processor_time.section(processor.Purpose.DECIDING):
            super().dispatch_waiting()
