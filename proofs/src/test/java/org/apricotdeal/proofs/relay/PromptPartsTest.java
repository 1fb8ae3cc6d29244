package org.apricotdeal.proofs.relay;

import java.util.List;

import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.relay.model.PromptPartId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests which parts of a prompt count as shared with other requests. */
public final class PromptPartsTest {
    @DataProvider
    public Object[][] headers() {
        return new Object[][] {
            {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", List.of("5c1e07a2", "91bd3f06")},
            {"5c1e07a2:800, 91bd3f06:410", List.of("5c1e07a2")},
            {"5c1e07a2:800", List.of()},
            {"", List.of()},
            {"5c1e07a2:800,", List.of()},
            {"5c1e07a2", List.of()},
            {"xyz:1,5c1e07a2:800", List.of()},
            {"5c1e07a2:-1,91bd3f06:410", List.of()},
            {"a:1,".repeat(64) + "b:1", List.of()}
        };
    }

    /**
     * The last part belongs to the request itself; an invalid header names no parts.
     *
     * @param header value of the header
     * @param shared ids of the shared parts
     */
    @Test(dataProvider = "headers")
    public void sharedPartsAreAllButTheLast(String header, List<String> shared) {
        assertEquals(
                new UsersPlatform()
                        .sharedPromptParts(header).stream()
                                .map(PromptPartId::value)
                                .toList(),
                shared);
    }
}
