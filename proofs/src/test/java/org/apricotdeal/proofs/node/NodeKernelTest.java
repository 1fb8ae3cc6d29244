package org.apricotdeal.proofs.node;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.http.HttpClients;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.settings.NodeSettings;
import org.eclipse.jetty.client.HttpClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/** Tests the delivery of events to the plug-ins of a node. */
public final class NodeKernelTest {
    private static final String SETTINGS = """
            [node]
            name = node1
            failureDomain = fd1
            callerPort = 0
            peerPort = 0

            [platform]
            keyValueAddress = 127.0.0.1:9
            """;
    private static final NodeEvent FIRST = new NodeEvent.CatalogueAdopted(Catalogue.EMPTY);
    private static final NodeEvent SECOND = new NodeEvent.VmsListed(List.of());

    private HttpClient client;
    private NodeKernel kernel;

    @BeforeMethod
    public void create() {
        Findings findings = new Findings();
        NodeSettings settings = NodeSettings.read(IniFile.parse("node.ini", SETTINGS, findings), findings);
        assertFalse(findings.hasErrors(), findings.toString());
        client = HttpClients.start("kernel-test", 1_000);
        kernel = new NodeKernel(settings, client);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        client.stop();
    }

    /** Guards against a node that never serves because its catalogue was published before the dispatcher had subscribed. */
    @Test
    public void eventPublishedBeforeStartReachesLaterSubscribers() {
        List<NodeEvent> early = new ArrayList<>();
        List<NodeEvent> late = new ArrayList<>();
        kernel.subscribe(early::add);
        kernel.publish(FIRST);
        kernel.subscribe(late::add);
        kernel.deliverBufferedEvents();
        kernel.publish(SECOND);
        assertEquals(early, List.of(FIRST, SECOND));
        assertEquals(late, List.of(FIRST, SECOND));
    }

    @Test
    public void eventPublishedByASubscriberFollowsItsCause() {
        List<NodeEvent> events = new ArrayList<>();
        kernel.publish(FIRST);
        kernel.subscribe(event -> {
            if (event.equals(FIRST)) {
                kernel.publish(SECOND);
            }
        });
        kernel.subscribe(events::add);
        kernel.deliverBufferedEvents();
        assertEquals(events, List.of(FIRST, SECOND));
    }
}
