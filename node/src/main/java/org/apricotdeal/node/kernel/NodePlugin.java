package org.apricotdeal.node.kernel;

import org.apricotdeal.kernel.plugin.Plugin;

/**
 * A part of the node. {@link #register} registers its services and handlers; {@link #start} looks up the services of other
 * plug-ins and starts its work.
 */
public interface NodePlugin extends Plugin<NodeKernel> {
    /**
     * Starts the plug-in's work; called after all plug-ins have registered.
     *
     * @param kernel the node's kernel
     */
    default void start(NodeKernel kernel) {}
}
