// Package turmericyokev1connect holds the generated clients and handlers of the services.
package turmericyokev1connect
