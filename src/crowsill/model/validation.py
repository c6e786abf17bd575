"""Checks across the fields of a configuration that field types cannot express."""

from collections.abc import Iterator

import msgspec

from crowsill.model.configuration import Configuration, ModelTemplate, Parameters, Template


class ConfigurationFault(msgspec.Struct, frozen=True):
    """One error in a configuration.

    Attributes:
        path: Key path of the invalid value.
        message: The error, with the valid values if they are known.
    """

    path: str
    message: str


def _template_faults(template: Template) -> Iterator[ConfigurationFault]:
    prefix = f"templates.{template.name}"
    for name, traffic_class in template.classes.items():
        if traffic_class.deadline_ms < traffic_class.target_ms:
            message = "deadline_ms must be at least target_ms"
            yield ConfigurationFault(f"{prefix}.classes.{name}.deadline_ms", message)
    known = ", ".join(sorted(template.classes)) or "none"
    for name, model in template.models.items():
        if model.traffic_class not in template.classes:
            message = f"unknown class {model.traffic_class!r}; the template has: {known}"
            yield ConfigurationFault(f"{prefix}.models.{name}.traffic_class", message)
    for name, service in template.services.items():
        if service.traffic_class not in template.classes:
            message = f"unknown class {service.traffic_class!r}; the template has: {known}"
            yield ConfigurationFault(f"{prefix}.services.{name}.traffic_class", message)


def _parameter_faults(
    parameters: Parameters, templates: dict[str, Template]
) -> Iterator[ConfigurationFault]:
    prefix = f"parameters.{parameters.tenant}"
    template = templates.get(parameters.template)
    if template is None:
        message = f"unknown template {parameters.template!r}"
        yield ConfigurationFault(f"{prefix}.template", message)
        return
    for model in parameters.models:
        if model not in template.models:
            message = f"model {model!r} is not in template {template.name!r}"
            yield ConfigurationFault(f"{prefix}.models", message)
    for service in parameters.services:
        if service not in template.services:
            message = f"service {service!r} is not in template {template.name!r}"
            yield ConfigurationFault(f"{prefix}.services", message)
    used = {*parameters.models, *parameters.services}
    for name, class_name in parameters.class_of.items():
        if name not in used:
            message = f"{name!r} is neither a model nor a service of this tenant"
            yield ConfigurationFault(f"{prefix}.class_of", message)
        if class_name not in template.classes:
            message = f"unknown class {class_name!r}"
            yield ConfigurationFault(f"{prefix}.class_of.{name}", message)


def _shared_model_faults(configuration: Configuration) -> Iterator[ConfigurationFault]:
    first_use: dict[str, tuple[str, ModelTemplate]] = {}
    for template in configuration.templates.values():
        for name, model in template.models.items():
            owner, known = first_use.setdefault(name, (template.name, model))
            same = (known.pool, known.memory_mib) == (model.pool, model.memory_mib)
            if not same:
                message = f"differs in pool or memory from the same model in template {owner!r}"
                yield ConfigurationFault(f"templates.{template.name}.models.{name}", message)


def _token_faults(configuration: Configuration) -> Iterator[ConfigurationFault]:
    owners: dict[str, str] = {}
    for parameters in configuration.parameters.values():
        for token in parameters.token_sha256:
            owner = owners.setdefault(token, parameters.tenant)
            if owner != parameters.tenant:
                message = f"the same token belongs to tenant {owner!r}"
                path = f"parameters.{parameters.tenant}.token_sha256"
                yield ConfigurationFault(path, message)


def configuration_faults(configuration: Configuration) -> list[ConfigurationFault]:
    """Return all errors in a configuration; an empty list means that it is valid."""
    faults: list[ConfigurationFault] = []
    for template in configuration.templates.values():
        faults.extend(_template_faults(template))
    for parameters in configuration.parameters.values():
        faults.extend(_parameter_faults(parameters, configuration.templates))
    faults.extend(_shared_model_faults(configuration))
    faults.extend(_token_faults(configuration))
    return faults
