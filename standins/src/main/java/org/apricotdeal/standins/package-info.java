/** Small stand-ins for the platform, the model engines and plain services, with faults that can be switched. */
package org.apricotdeal.standins;
