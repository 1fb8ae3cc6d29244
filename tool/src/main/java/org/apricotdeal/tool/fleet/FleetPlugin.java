package org.apricotdeal.tool.fleet;

import org.apricotdeal.tool.command.CommandRegistry;
import org.apricotdeal.tool.command.ToolPlugin;

/** Registers the commands that ask the nodes. */
public final class FleetPlugin implements ToolPlugin {
    @Override
    public String name() {
        return "fleet";
    }

    @Override
    public void register(CommandRegistry registry) {
        registry.add(new NodeQueryCommand(
                "status", "Show each node's readiness, versions and load.", "", registry.environment()));
        registry.add(new NodeQueryCommand(
                "replicas", "Show each failure domain's replicas.", "replicas", registry.environment()));
        registry.add(new NodeQueryCommand(
                "callers", "Show the callers and their limits.", "callers", registry.environment()));
        registry.add(new TimelineCommand(registry.environment()));
        registry.add(new ExplainCommand(registry.environment()));
    }
}
