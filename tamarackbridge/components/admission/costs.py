"""Cost of a request in tokens, as it counts towards a workspace's share."""

from tamarackbridge.components.gateway import models


def expected_output_tokens(
    request: models.Request | models.RequestPreview,
) -> int:
    """Returns how many tokens a request is expected to generate."""
    if request.output_hint:
        return min(
            request.output_hint, request.output_tokens or request.output_hint
        )
    return request.output_tokens


def request_cost(request: models.Request | models.RequestPreview) -> float:
    """Returns the cost of a request; a generated token counts twice."""
    return request.prompt_tokens + 2.0 * expected_output_tokens(request)
