package org.apricotdeal.node.platform;

import java.util.List;

import com.codahale.metrics.Counter;
import org.apricotdeal.http.EtcdKeyValueStore;
import org.apricotdeal.http.HttpVmList;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.node.settings.NodeSettings;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmList;

/** Provides access to the key-value service and reads the VM list periodically. */
public final class PlatformPlugin implements NodePlugin {
    private static final int RING_BUFFER_SLOTS = 16;

    private VmList vmList;
    private Counter vmListFailures;

    @Override
    public String name() {
        return "platform";
    }

    @Override
    public void register(NodeKernel kernel) {
        NodeSettings.Platform settings = kernel.settings().platform();
        KeyValueStore store =
                new EtcdKeyValueStore(kernel.httpClient(), settings.keyValueAddress(), settings.callTimeoutMillis());
        kernel.offer(KeyValueStore.class, store);
        kernel.offer(StoreDuties.class, new StoreDuties(kernel, store));
        vmList = new HttpVmList(kernel.httpClient(), settings.vmListAddress(), settings.callTimeoutMillis());
        vmListFailures = kernel.metrics().counter("platform.vm-list.failures");
    }

    @Override
    public void start(NodeKernel kernel) {
        long periodMillis = kernel.settings().timing().vmListMillis();
        Duty<Boolean> duty = kernel.duty(
                "vm-list", RING_BUFFER_SLOTS, periodMillis, trigger -> readVmList(kernel), () -> readVmList(kernel));
        duty.offer(true);
    }

    private void readVmList(NodeKernel kernel) {
        switch (vmList.read()) {
            case Result.Ok<List<Vm>, PlatformError>(List<Vm> vms) -> kernel.publish(new NodeEvent.VmsListed(vms));
            case Result.Err<List<Vm>, PlatformError> error -> vmListFailures.inc();
        }
    }
}
