"""What a request costs, in tokens."""

from tamarackbridge.components.gateway import models


def expected_output(call: models.Request | models.RequestPreview) -> int:
    """Returns the tokens that a call probably generates."""
    if call.output_hint:
        return min(call.output_hint, call.output_tokens or call.output_hint)
    return call.output_tokens


def cost(call: models.Request | models.RequestPreview) -> float:
    """Returns the cost of a call; a generated token counts twice."""
    return call.prompt_tokens + 2.0 * expected_output(call)
