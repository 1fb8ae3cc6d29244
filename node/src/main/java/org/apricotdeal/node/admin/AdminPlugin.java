package org.apricotdeal.node.admin;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.time.HybridTime;
import org.apricotdeal.kernel.timeline.TimelineEvent;
import org.apricotdeal.node.catalogue.CatalogueRef;
import org.apricotdeal.node.fleet.Route;
import org.apricotdeal.node.fleet.RouteTable;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.node.kernel.RequestsInProgress;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.planning.PlannedReplica;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Serves operators' queries: the node's status, the replicas of its failure domain, the callers and its event timeline. */
public final class AdminPlugin implements NodePlugin {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final AtomicReference<Plan> plan = new AtomicReference<>();
    private final AtomicReference<RouteTable> routes = new AtomicReference<>(RouteTable.EMPTY);
    private NodeKernel kernel;

    @Override
    public String name() {
        return "admin";
    }

    @Override
    public void register(NodeKernel withKernel) {
        kernel = withKernel;
        kernel.peerRoute("/admin/status", new JsonHandler(request -> status()));
        kernel.peerRoute("/admin/replicas", new JsonHandler(request -> replicas()));
        kernel.peerRoute("/admin/callers", new JsonHandler(request -> callers()));
        kernel.peerRoute("/admin/timeline", new JsonHandler(this::timeline));
        kernel.subscribe(event -> {
            switch (event) {
                case NodeEvent.PlanAdopted(Plan adopted) -> plan.set(adopted);
                case NodeEvent.RoutesChanged(RouteTable table) -> routes.set(table);
                default -> {}
            }
        });
    }

    private ObjectNode status() {
        ObjectNode root = JSON.createObjectNode();
        var node = kernel.settings().node();
        root.put("node", node.id().value());
        root.put("failureDomain", node.failureDomain().value());
        root.put("ready", kernel.notReadyReason().isEmpty());
        root.put("reason", kernel.notReadyReason().orElse(""));
        root.put("catalogueVersion", catalogue().version());
        root.put("planVersion", plan.get() == null ? 0 : plan.get().version());
        root.put("planner", plan.get() == null ? "" : plan.get().planner().value());
        root.put("inProgress", kernel.require(RequestsInProgress.class).count());
        root.put("targets", routes.get().routes().size());
        return root;
    }

    private Catalogue catalogue() {
        return kernel.require(CatalogueRef.class).get().orElse(Catalogue.EMPTY);
    }

    private ObjectNode replicas() {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode replicaArray = root.putArray("replicas");
        Plan currentPlan = plan.get();
        if (currentPlan == null) {
            return root;
        }
        root.put("planVersion", currentPlan.version());
        for (PlannedReplica replica : currentPlan.replicas()) {
            ObjectNode entry = replicaArray.addObject();
            entry.put("replica", replica.id().value());
            entry.put("model", replica.model().value());
            entry.put("generation", replica.generation());
            entry.put("spanning", replica.spanning());
            entry.put("serving", isServing(replica));
            ArrayNode memberArray = entry.putArray("members");
            replica.vms().stream().map(VmId::value).forEach(memberArray::add);
        }
        ArrayNode spareArray = root.putArray("spares");
        currentPlan.spares().forEach(spare -> spareArray.add(spare.toString()));
        return root;
    }

    private boolean isServing(PlannedReplica replica) {
        for (Route route : routes.get().routes().values()) {
            if (replica.id().equals(route.replica())) {
                return true;
            }
        }
        return false;
    }

    private ObjectNode callers() {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode callerArray = root.putArray("callers");
        for (CallerEntry caller : catalogue().all(CallerEntry.class)) {
            ObjectNode entry = callerArray.addObject();
            entry.put("caller", caller.id().value());
            entry.put("weight", caller.weight());
            entry.put("tokensPerSecond", caller.tokensPerSecond());
            entry.put("requestsPerSecond", caller.requestsPerSecond());
            entry.put("maxInFlight", caller.maxInFlight());
        }
        return root;
    }

    private ObjectNode timeline(Request request) {
        Fields query = Request.extractQueryParameters(request);
        String after = query.getValue("after");
        long afterMillis = after == null || !after.matches("\\d{1,18}") ? 0 : Long.parseLong(after);
        ObjectNode root = JSON.createObjectNode();
        root.put("node", kernel.settings().node().id().value());
        ArrayNode eventArray = root.putArray("events");
        List<TimelineEvent> timelineEvents = new ArrayList<>(kernel.timeline().since(new HybridTime(afterMillis, 0)));
        for (TimelineEvent event : timelineEvents) {
            ObjectNode entry = eventArray.addObject();
            entry.put("wallMillis", event.time().wallMillis());
            entry.put("counter", event.time().counter());
            entry.put("process", event.process());
            entry.put("code", event.message().code());
            entry.put("severity", event.message().severity().name());
            entry.put("text", event.text());
            entry.put("catalogueVersion", event.catalogueVersion());
            entry.put("planVersion", event.planVersion());
        }
        return root;
    }

    /** Responds with a JSON object built from the request. */
    private static final class JsonHandler extends Handler.Abstract.NonBlocking {
        private final Function<Request, ObjectNode> responseBuilder;

        JsonHandler(Function<Request, ObjectNode> responseBuilder) {
            this.responseBuilder = responseBuilder;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws JsonProcessingException {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            response.write(true, ByteBuffer.wrap(JSON.writeValueAsBytes(responseBuilder.apply(request))), callback);
            return true;
        }
    }
}
