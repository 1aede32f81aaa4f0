"""Cost of a request in tokens, as it counts towards a workspace's share."""

from tamarackbridge.components.gateway import models


def expected_output_tokens(call: models.Request | models.RequestPreview) -> int:
    """Returns how many tokens a call is expected to generate."""
    if call.output_hint:
        return min(call.output_hint, call.output_tokens or call.output_hint)
    return call.output_tokens


def request_cost(call: models.Request | models.RequestPreview) -> float:
    """Returns the cost of a call; a generated token counts twice."""
    return call.prompt_tokens + 2.0 * expected_output_tokens(call)
