package org.apricotdeal.node.kernel;

import org.apricotdeal.kernel.plugin.Plugin;

/** A part of the node. {@link #register} offers what others use; {@link #start} begins to work. */
public interface NodePlugin extends Plugin<NodeKernel> {
    /**
     * Starts the plug-in's work, after all plug-ins have registered.
     *
     * @param kernel the kernel
     */
    default void start(NodeKernel kernel) {}
}
