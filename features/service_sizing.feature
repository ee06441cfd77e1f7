Feature: The class document may ask for the size of a service
  Without processes. Guards against a switch that is accepted and does nothing:
  the own interface can order no endpoints.

  Scenario Outline: Services in the class document are validated
    When class declarations have the services <services>
    Then the places of their errors are <places>

    Examples:
      | services                                                                   | places                       |
      | [{name: p}]                                                                | none                         |
      | [{name: p, sizing: fixed, minimum: 1, maximum: 4, boot_s: 2}]              | none                         |
      | [{name: p, sizing: fixed, minimum: 5, maximum: 4}]                         | [0].minimum                  |
      | [{name: other}]                                                            | [0].name                     |
      | [{name: p}, {name: p}]                                                     | .                            |
      | [{name: p, sizing: utilization}]                                           | [0].sizing                   |
      | [{name: p, maximum: -1}]                                                   | [0].maximum                  |
      | [{name: p, reclaimable_price: 0}]                                          | [0].reclaimable_price        |
      | [{name: p, boot_s: 7200}]                                                  | [0].boot_s                   |
      | [{name: p, size: 3}]                                                       | [0].size                     |
      | {p: demand}                                                                | .                            |
      | [7]                                                                        | [0]                          |
      | [{name: p, sizing: demand, minimum: 1, maximum: 4, boot_s: 2}]             | .sizing                      |
      | [{name: p, sizing: demand, minimum: 9, maximum: 4, boot_s: 2}]             | [0].minimum, .sizing         |
      | [{name: p, sizing: demand}]                                                | [0].maximum, [0].boot_s, .sizing |

  Scenario: A service that should follow the demand is refused in one error
    Guards against errors that leave open why, or that repeat for each service.
    When class declarations have the services [{name: p, sizing: demand, minimum: 1, maximum: 4, boot_s: 2}, {name: q, sizing: demand, minimum: 1, maximum: 4, boot_s: 2}]
    Then their only error is "document.services.sizing: found demand for ['p', 'q'], allowed: fixed, as nothing can order endpoints in the own interface"
