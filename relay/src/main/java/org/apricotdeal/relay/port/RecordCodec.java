package org.apricotdeal.relay.port;

import java.util.Optional;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamVm;

/** Reads what the operator and the VMs write to the store. */
public interface RecordCodec {
    /**
     * Returns the prefix of the keys under which VMs register.
     *
     * @return the prefix
     */
    String vmPrefix();

    /**
     * Returns the prefix under which the operator writes.
     *
     * @return the prefix
     */
    String operatorPrefix();

    /**
     * Returns the operator's key of the catalogue.
     *
     * @return the key
     */
    String catalogueKey();

    /**
     * Reads a VM's entry.
     *
     * @param id last part of the entry's key
     * @param value the entry
     * @return the VM; nothing where the entry names none that can be used
     */
    Optional<UpstreamVm> vm(String id, byte[] value);

    /**
     * Reads a catalogue.
     *
     * @param value the operator's bytes
     * @return the catalogue, or what is wrong with it
     */
    Result<RelayCatalogue, String> catalogue(byte[] value);
}
