package org.apricotdeal.proofs.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.ColdStart;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.model.RouteEntry;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.RecordCodec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the parsing of complete records of the users' store, records with unknown fields, and invalid records. */
public final class UsersRecordsTest {
    private static final RecordCodec CODEC = new UsersPlatform().codec();
    private static final String ENTRY = """
            {"service":"chat","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":12,"state":"ready",
            "cold-remaining-ms":0,"phase":"unified","models":[{"name":"m0","version":1,"adapters":[]}],"sequence":4,
            "domain":"d1","staged-models":["m0"],"born":1700000000000,"future":{"a":1},
            "group":{"name":"m0.x-1","epoch":12,"rank":1,"state":"ready"}}""";

    private static Optional<UpstreamVm> vm(String json) {
        return CODEC.vm("i-1", json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void entryIsReadCompletely() {
        UpstreamVm vm = vm(ENTRY).orElseThrow();
        assertEquals(vm.slots(), 12);
        assertEquals(vm.startedWallMillis(), 1_700_000_000_000L);
        assertEquals(vm.fabricDomain().orElseThrow().value(), "d1");
        assertEquals(vm.stagedModels().getFirst().value(), "m0");
        assertEquals(vm.group().orElseThrow().phase(), GroupPhase.READY);
        assertEquals(vm.group().orElseThrow().rank(), 1);
    }

    /** In an entry, the field that contains the order count of a report numbers the heartbeats. */
    @Test
    public void entryHasNoOrderCount() {
        assertEquals(vm(ENTRY).orElseThrow().orderCount(), UpstreamVm.ORDER_COUNT_UNKNOWN);
    }

    @Test
    public void entrySaysHowLongTheVmRemainsCold() {
        assertEquals(vm(ENTRY).orElseThrow().coldRemainingMillis(), OptionalLong.of(0));
        assertEquals(cold("2400"), OptionalLong.of(2_400));
        assertEquals(cold("-1"), OptionalLong.empty(), "not known, and the VM still serves");
    }

    private static OptionalLong cold(String remainingMillis) {
        String entry = ENTRY.replace("\"cold-remaining-ms\":0", "\"cold-remaining-ms\":" + remainingMillis);
        return vm(entry).orElseThrow().coldRemainingMillis();
    }

    @DataProvider
    public Object[][] invalidEntries() {
        return new Object[][] {
            {"\"service\":\"chat\",", ""},
            {"\"slots\":12", "\"slots\":\"12\""},
            {"\"state\":\"ready\",\n\"cold", "\"state\":\"resting\",\n\"cold"},
            {"\"address\":\"10.128.0.9:8080\"", "\"address\":7"},
            {"\"zone\":\"a\"", "\"zone\":null"},
            {"\"sequence\":4", "\"sequence\":4.5"},
            {"\"born\":1700000000000", "\"born\":\"yesterday\""},
            {"\"epoch\":12", "\"epoch\":\"x\""},
            {"{\"service\"", "{{\"service\""},
            {"10.128.0.9:8080", "10.128.0.9:"},
            {"10.128.0.9:8080", ":8080"},
            {"10.128.0.9:8080", "10.128.0.9"},
            {"10.128.0.9:8080", "10.128.0.9:0"},
            {"10.128.0.9:8080", "10.128.0.9:65536"},
            {"10.128.0.9:8080", "10.128.0.9:-80"},
            {"10.128.0.9:8080", "10.128.0.9:+80"},
            {"10.128.0.9:8080", "10.128.0.9: 80"},
            {"10.128.0.9:8080", "10.128.0.9:http"},
            {"10.128.0.9:8080", "10.128.0.256:8080"},
            {"10.128.0.9:8080", "10.128.0:8080"},
            {"10.128.0.9:8080", "worker.example:8080"},
            {"10.128.0.9:8080", "http://10.128.0.9:8080"},
            {"10.128.0.9:8080", "10.128.0.9:8080:1"},
            {"\"version\":\"v1\",", ""},
            {"\"version\":\"v1\"", "\"version\":1"},
            {"\"cold-remaining-ms\":0", "\"cold-remaining-ms\":\"soon\""},
            {"\"cold-remaining-ms\":0,", ""},
            {"\"slots\":12", "\"slots\":-1"},
            {"\"slots\":12", "\"slots\":4294967308"},
            {"\"slots\":12", "\"slots\":1.5"},
            {"\"rank\":1", "\"rank\":4294967296"},
            {"\"rank\":1", "\"rank\":-1"},
            {"\"epoch\":12", "\"epoch\":18446744073709551616"},
            {"\"state\":\"ready\"}}", "\"state\":\"resting\"}}"},
            {"\"domain\":\"d1\"", "\"domain\":1"},
            {"\"staged-models\":[\"m0\"]", "\"staged-models\":\"m0\""},
            {"\"staged-models\":[\"m0\"]", "\"staged-models\":[7]"},
            {"\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]", "\"models\":{}"},
        };
    }

    @Test(dataProvider = "invalidEntries")
    public void invalidEntryIsIgnored(String part, String replacement) {
        assertTrue(ENTRY.contains(part), part);
        assertEquals(vm(ENTRY.replace(part, replacement)), Optional.empty());
    }

    @Test
    public void catalogueMatchesTheLongestPrefixOfTheHost() {
        String json = """
                {"version":7,"routes":[
                {"name":"r1","host":"h","path-prefix":"/a/","type":"idempotent","timeout-ms":800,"target-latency-ms":100,
                "priority":2,"service":"shop","max-attempts":2,"public":true},
                {"name":"r2","host":"h","path-prefix":"/a/b/","type":"streaming","timeout-ms":8000,
                "traffic-split":[{"service":"chat","weight":90},{"service":"shop","weight":10}],"stream-resume":true}],
                "services":[{"name":"chat","cold-start-s":3.0,"cold-per-s":23.0},{"name":"shop"}],"limits":{"max-body-bytes":5},
                "tenants":[{"name":"c","api-keys":["k1","k2"]}]}""";
        Result<RelayCatalogue, String> read = CODEC.catalogue(json.getBytes(StandardCharsets.UTF_8));
        RelayCatalogue catalogue = ((Result.Ok<RelayCatalogue, String>) read).value();
        RouteEntry route = catalogue.route("H", "/a/b/c").orElseThrow();
        assertEquals(route.name(), "r2");
        assertEquals(route.retrySafety(), RetrySafety.STREAM);
        assertEquals(route.upstreams().size(), 2);
        assertEquals(catalogue.route("h", "/a/c").orElseThrow().name(), "r1");
        assertEquals(catalogue.route("h", "/a"), Optional.empty());
        assertEquals(catalogue.customer("k2").orElseThrow().name(), "c");
        assertEquals(catalogue.callerLimits().maxBodyBytes(), 5);
        assertEquals(catalogue.upstreams().get(new UpstreamId("chat")).coldStart(), new ColdStart(3_000, 23));
        assertEquals(catalogue.upstreams().get(new UpstreamId("shop")).coldStart(), ColdStart.UNLIMITED);
    }

    @DataProvider
    public Object[][] invalidCatalogues() {
        return new Object[][] {{""}, {"[]"}, {"{\"routes\":[]}"}, {"{\"version\":1,\"routes\":[{\"host\":\"h\"}]}"}};
    }

    @Test(dataProvider = "invalidCatalogues")
    public void invalidCatalogueIsAnError(String json) {
        assertTrue(CODEC.catalogue(json.getBytes(StandardCharsets.UTF_8)) instanceof Result.Err, json);
    }
}
