package org.apricotdeal.proofs.kernel;

import org.apricotdeal.kernel.misc.HostPort;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

/** Tests how addresses are split. */
public final class HostPortTest {
    @DataProvider
    public Object[][] addresses() {
        return new Object[][] {
            {"127.0.0.1:80", new HostPort("127.0.0.1", 80)},
            {"[::1]:8080", new HostPort("[::1]", 8_080)},
            {"vm-1.example:0", new HostPort("vm-1.example", 0)},
        };
    }

    @Test(dataProvider = "addresses")
    public void splitsAtTheLastColon(String address, HostPort parts) {
        assertEquals(HostPort.parse(address), parts);
    }

    @DataProvider
    public Object[][] spoiled() {
        return new Object[][] {{""}, {":80"}, {"host"}, {"host:"}, {"host:x"}};
    }

    @Test(dataProvider = "spoiled")
    public void refusesWhatHasNoHostOrNoPort(String address) {
        expectThrows(IllegalArgumentException.class, () -> HostPort.parse(address));
    }
}
