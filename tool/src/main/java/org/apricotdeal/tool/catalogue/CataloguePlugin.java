package org.apricotdeal.tool.catalogue;

import org.apricotdeal.tool.command.CommandRegistry;
import org.apricotdeal.tool.command.ToolPlugin;

/** Registers the commands on the catalogue. */
public final class CataloguePlugin implements ToolPlugin {
    @Override
    public String name() {
        return "catalogue";
    }

    @Override
    public void register(CommandRegistry registry) {
        registry.add(new CheckCommand());
        registry.add(new DiffCommand(registry.environment()));
        registry.add(new ApplyCommand(registry.environment()));
        registry.add(new ShowCommand(registry.environment()));
        registry.add(new ExportCommand(registry.environment()));
    }
}
