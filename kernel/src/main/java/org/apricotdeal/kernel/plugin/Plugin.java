package org.apricotdeal.kernel.plugin;

/**
 * A part of a process that registers itself with the kernel. Implementations are found by {@link java.util.ServiceLoader}.
 *
 * @param <R> the registry that the kernel of the process offers
 */
public interface Plugin<R> {
    /**
     * Returns the plug-in's name.
     *
     * @return the name, unique within a process
     */
    String name();

    /**
     * Registers the plug-in's duties, handlers and commands.
     *
     * @param registry the kernel's registry
     */
    void register(R registry);
}
