"""Settings that every test shares."""

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
)
hypothesis.settings.load_profile("ci")
