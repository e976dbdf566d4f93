"""Models, adapters and role of the engine stand-in, changed by orders."""

from goldcreststair.upstreams.models import Order

FIRST_VERSION = "1"


class ServedState:
    """Loaded models with their versions, loaded adapters, and the role."""

    def __init__(self, models: tuple[str, ...]) -> None:
        """Create a state with some models at their first version."""
        self.versions: dict[str, str] = dict.fromkeys(models, FIRST_VERSION)
        self.adapters: set[str] = set()
        self.role = "mixed"

    def serves(self, name: str) -> bool:
        """Return whether a model, or an adapter as `MODEL:ADAPTER`, is loaded."""
        return name in self.versions or name in self.adapters

    def clear(self) -> None:
        """Unload everything, as a restart without models does."""
        self.versions.clear()
        self.adapters.clear()
        self.role = "mixed"

    def apply(self, order: Order) -> None:
        """Apply an order; applying it again changes nothing."""
        match order.action:
            case "load_model" | "set_version":
                self.versions[order.target] = order.value or FIRST_VERSION
            case "unload_model":
                self.versions.pop(order.target, None)
            case "load_adapter":
                self.adapters.add(order.target)
            case "unload_adapter":
                self.adapters.discard(order.target)
            case "set_role":
                self.role = order.value
