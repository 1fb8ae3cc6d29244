package org.apricotdeal.proofs.kernel;

import org.apricotdeal.kernel.misc.HostPort;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

/** Tests the parsing of addresses by {@link HostPort}. */
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
    public void splitsAtLastColon(String address, HostPort parts) {
        assertEquals(HostPort.parse(address), parts);
    }

    @DataProvider
    public Object[][] malformedAddresses() {
        return new Object[][] {{""}, {":80"}, {"host"}, {"host:"}, {"host:x"}};
    }

    @Test(dataProvider = "malformedAddresses")
    public void rejectsAddressWithoutHostOrPort(String address) {
        expectThrows(IllegalArgumentException.class, () -> HostPort.parse(address));
    }
}
