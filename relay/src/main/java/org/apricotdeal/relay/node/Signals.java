package org.apricotdeal.relay.node;

import java.lang.reflect.Proxy;

/** Signals that the virtual machine would end the process on. */
final class Signals {
    private Signals() {}

    /**
     * Runs an action at SIGHUP, which announces changed settings, in place of ending the process. The class that takes
     * signals is no part of the documented interface of the JDK, so it is reached by reflection.
     *
     * @param action the action
     * @throws ReflectiveOperationException where the virtual machine offers no such class
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
