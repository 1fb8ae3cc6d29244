package org.apricotdeal.proofs.relay;

import java.util.Optional;
import java.util.OptionalInt;

import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.relay.model.RequestSize;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Headers that state the size of a generation, as callers send them or make them up. */
public final class RequestSizeTest {
    @DataProvider
    public Object[][] headers() {
        RequestSize unhinted = new RequestSize(1_460, 80, OptionalInt.empty());
        RequestSize hinted = new RequestSize(1_460, 80, OptionalInt.of(33));
        return new Object[][] {
            {"1460,80", null, Optional.of(unhinted)},
            {"1460, 80", "33", Optional.of(hinted)},
            {"1460,80", "33.7", Optional.of(hinted)},
            {"1460,80", "-3", Optional.of(unhinted)},
            {"1460,80", "9".repeat(30), Optional.of(unhinted)},
            {"1460", "33", Optional.empty()},
            {"-1,80", null, Optional.empty()},
            {"9".repeat(30) + ",80", null, Optional.empty()},
            {"1460,80,5", null, Optional.empty()},
            {null, "33", Optional.empty()}
        };
    }

    /**
     * An invalid hint counts as none, and invalid counts leave the size unknown.
     *
     * @param counts value of the header of token counts
     * @param hint value of the header of the hint
     * @param size the size that is read
     */
    @Test(dataProvider = "headers")
    public void sizeIsReadOrUnknown(String counts, String hint, Optional<RequestSize> size) {
        assertEquals(new UsersPlatform().requestSize(counts, hint), size);
    }
}
