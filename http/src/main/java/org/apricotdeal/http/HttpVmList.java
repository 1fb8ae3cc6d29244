package org.apricotdeal.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmList;
import org.apricotdeal.platform.VmState;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;

/** Reads the platform's VM list over HTTP. */
public final class HttpVmList implements VmList {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Destinations destinations;
    private final String address;
    private final long timeoutMillis;

    /**
     * Creates a reader.
     *
     * @param client the process's shared client
     * @param address host and port of the list
     * @param timeoutMillis longest time to wait for the list
     */
    public HttpVmList(HttpClient client, String address, long timeoutMillis) {
        this.destinations = new Destinations(client);
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public Result<List<Vm>, PlatformError> read() {
        try {
            ContentResponse response = destinations
                    .pooled(address)
                    .path("/vms")
                    .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                    .send();
            if (response.getStatus() != HttpStatus.OK_200) {
                return notDone("status " + response.getStatus());
            }
            return Result.ok(readList(response.getContentAsString()));
        } catch (TimeoutException e) {
            destinations.suspect(address);
            return notDone(Failures.describe(e));
        } catch (ExecutionException e) {
            return notDone(Failures.describe(e.getCause()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return notDone("interrupted");
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return notDone("not a valid VM list: " + e.getMessage());
        }
    }

    private static List<Vm> readList(String body) throws JsonProcessingException {
        List<Vm> vms = new ArrayList<>();
        for (JsonNode vm : MAPPER.readTree(body).path("vms")) {
            vms.add(readVm(vm));
        }
        return vms;
    }

    private static Vm readVm(JsonNode vm) {
        return new Vm(
                new VmId(vm.path("id").asText()),
                new FailureDomainId(vm.path("failureDomain").asText()),
                new FabricDomainId(vm.path("fabricDomain").asText()),
                new UpstreamId(vm.path("upstream").asText()),
                vm.path("address").asText(),
                vm.path("accelerators").asInt(),
                VmState.valueOf(vm.path("state").asText().toUpperCase(Locale.ROOT)));
    }

    private static Result<List<Vm>, PlatformError> notDone(String detail) {
        return Result.err(new PlatformError.NotDone(detail));
    }
}
