"""Reports of models and adapters that were never served, from saved logs."""

from crowsill_lab.explain_models import LoadState, read_resources, resource_table

AT = "2026-01-02T03:04:{second:06.3f}Z INFO"


def line(second, text):
    return f"{AT.format(second=second)} {text} node=n"


def rejected(second, request, resource):
    detail = "no replica holds the model yet"
    text = f"E201 request_refused request={request} resource={resource} route=r kind=no_replica"
    return line(second, f'{text} detail="{detail}" ms=5')


def served(second, request, resource):
    routed = f"E200 request_routed request={request} resource={resource} replica=i-1 ms=1"
    finished = f"E202 request_finished request={request} status=200 late=False ms=50"
    return f"{line(second, routed)}\n{line(second, finished)}"


def rejected_throughout(resource):
    return [rejected(1 + 3 * place, f"{resource}-{place}", resource) for place in range(4)]


def decided(second, resource, unload=""):
    text = f"E501 placement_decided replica=i-1 load={resource} unload={unload} reason=more"
    return line(second, text)


def settled(second, resource, kind="load"):
    return line(
        second, f"E502 order_settled replica=i-1 kind={kind} resource={resource} succeeded=True"
    )


def reports_of(lines):
    return {report.resource: report for report in read_resources(["\n".join(lines)])}


def test_a_resource_counts_as_never_served_only_if_it_was_requested_throughout():
    few = rejected_throughout("few")[:3]
    short = [rejected(1 + place, f"short-{place}", "short") for place in range(5)]
    once_served = [*rejected_throughout("served"), served(15, "s", "served")]
    reports = reports_of([*few, *short, *once_served, *rejected_throughout("m/a1")])
    assert [name for name, report in reports.items() if report.is_never_served] == ["m/a1"]


def test_each_unserved_resource_is_reported_with_how_far_its_loads_came():
    lines = [
        *rejected_throughout("unordered"),
        *rejected_throughout("unloaded"),
        *rejected_throughout("loaded"),
        decided(2, "unloaded"),
        decided(3, "loaded"),
        settled(9, "loaded"),
        settled(9, "unordered", kind="unload"),
        decided(9.5, "other", unload="loaded,other/a1"),
        line(4, 'E507 placement_deferred service=s resource=unordered why="gain 0.1"'),
        line(5, 'E507 placement_deferred service=s resource=unordered why="gain 0.2"'),
        line(6, 'E507 placement_deferred service=s resource=unordered why="gain 0.1"'),
    ]
    reports = reports_of(lines)
    states = [reports[name].load_state for name in ("unordered", "unloaded", "loaded")]
    assert states == [LoadState.NEVER_ORDERED, LoadState.NOT_LOADED, LoadState.LOADED]
    shown = resource_table(list(reports.values()))
    assert "3 models and adapters requested throughout, 3 never served" in shown
    assert "eviction decided at 8.5" in shown
    assert shown.index("put off 1 times: gain 0.2") < shown.index("put off 2 times: gain 0.1")
