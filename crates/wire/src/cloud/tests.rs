use super::*;

fn machine_type(spot_price: Option<f64>) -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price_per_hour: 2.0,
        spot_price,
        boot_s: 30.0,
        zones: vec!["a".into()],
    }
}

#[test]
fn spot_machine_costs_spot_price_or_on_demand_price_if_there_is_none() {
    let [spot, on_demand] = [true, false].map(PurchaseOption::from_spot);
    assert_eq!(machine_type(Some(0.5)).price(spot), 0.5);
    assert_eq!(machine_type(None).price(spot), 2.0);
    assert_eq!(machine_type(Some(0.5)).price(on_demand), 2.0);
}
