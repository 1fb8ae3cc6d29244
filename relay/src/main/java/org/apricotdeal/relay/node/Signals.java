package org.apricotdeal.relay.node;

import java.lang.reflect.Proxy;

/** Handlers of operating system signals that would otherwise end the process. */
final class Signals {
    private Signals() {}

    /**
     * Runs an action on SIGHUP, which announces changed settings, instead of ending the process. The JDK's signal handling
     * class is not part of its documented API and is therefore called by reflection.
     *
     * @param action action to run on each signal
     * @throws ReflectiveOperationException if the JDK has no such class
     */
    static void onHangUp(Runnable action) throws ReflectiveOperationException {
        Class<?> signalType = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        Object handler = Proxy.newProxyInstance(
                Signals.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        action.run();
                    }
                    return null;
                });
        Object hangUp = signalType.getConstructor(String.class).newInstance("HUP");
        signalType.getMethod("handle", signalType, handlerType).invoke(null, hangUp, handler);
    }
}
