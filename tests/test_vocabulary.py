"""Names that were withdrawn for the usual terms of the field do not come back."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Withdrawn name: the term that stands for it now (docs/GLOSSARY.md).
WITHDRAWN = {
    "hindrance": "exclusion",
    "hindered": "excluded",
    "prospect": "wait estimate",
    "patience_of": "wait budget",
    "Patience": "wait budget",
    "AskedResources": "missing resources",
    "KnownCaller": "principal",
    "may_act": "is_ready_to_plan",
    "may_be_sent": "is_sendable",
    "pass_on_wanted": "forward_demand",
    "told_times": "return times",
    "LIKENESS": "peers' use",
    "UNCROWDED": "peers' use",
}
PATTERN = re.compile("|".join(rf"\b{word}s?\b" for word in WITHDRAWN))


def withdrawn_names(text):
    """Return the withdrawn names in a text."""
    return sorted(set(PATTERN.findall(text)))


def test_withdrawn_names_are_used_nowhere():
    found = {
        str(path.relative_to(ROOT)): names
        for folder in ("src", "platform")
        for path in (ROOT / folder).rglob("*.py")
        if (names := withdrawn_names(path.read_text()))
    }
    assert found == {}


def test_a_planted_name_is_found():
    assert withdrawn_names("def may_act(self):") == ["may_act"]
    assert withdrawn_names("the hindrances of it") == ["hindrances"]
    assert withdrawn_names("an excluded replica") == []
